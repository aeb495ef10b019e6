#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <map>
#include <optional>

namespace pimentostage {

/// Runs Membership over the sibling links and keeps the hosts' configurations in sync by the
/// summaries that probes carry.
///
/// Lives on the control thread.
class MemberControl
{
public:
    /// Called with the objects received from a sibling.
    using OnConfig = std::function<void(const ConfigPush &)>;

    MemberControl(const MemberUpdate &self, Random random, const MembershipTiming &timing,
                  ConfigState &config, SiblingSender &sender, LogSink &log, OnConfig onConfig);

    /// Adds hosts of which only the address is known. They are probed until another host is in the
    /// view, and tell this host the names of the others.
    void addSeeds(const std::vector<Address> &seeds);

    /// Adds the entry hosts in @p hosts and drops those that it no longer contains.
    void updateListed(const std::vector<ListedHost> &hosts);

    /// Sets the host that is probed in every period for its configuration summary and that is
    /// closer to the store's readers; none if this host is a reader.
    void setSource(const std::optional<HostName> &source);

    void tick(TimePoint now);

    void onMessage(const HostName &from, const Probe &probe, TimePoint now);
    void onMessage(const HostName &from, const ProbeAck &ack, TimePoint now);
    void onMessage(const HostName &from, const ConfigPull &pull);
    void onMessage(const ConfigPush &push);

    /// Notifies the other hosts that this host leaves.
    void leave();

    [[nodiscard]] Membership &membership() { return membership_; }
    [[nodiscard]] const Membership &membership() const { return membership_; }

    /// @return the number of entry hosts in the platform's list, this one included.
    [[nodiscard]] std::size_t listedHosts() const { return listedHosts_; }

    /// @return whether another host has recently reported contact with the store.
    [[nodiscard]] bool othersReachStore(TimePoint now) const;

    /// @return whether a majority of the listed entry hosts, this one included, has the same
    ///         configuration as this host according to their replies to recent probes.
    [[nodiscard]] bool agreesWithMajority(TimePoint now) const;

    /// @return whether this host's configuration still differs from its source's after pulls. Only
    ///         a read of the store resolves this, for example after a deletion that the source has
    ///         no record of.
    [[nodiscard]] bool hasDiverged(TimePoint now) const;

    /// @return whether all listed entry hosts are in the view, or the time to wait for them has
    ///         passed.
    [[nodiscard]] bool isSettled(TimePoint now) const;

private:
    /// The last state received from another host.
    struct PeerReport
    {
        TimePoint receivedAt_;
        std::optional<Duration> configAge_;
        TimePoint probeSentAt_ {}; ///< when the newest probe that the host has answered was sent
        std::uint64_t confirmedDigest_ = 0; ///< ConfigSummary::confirmedDigest_ in that answer
    };

    ConfigSummary summary(TimePoint now) const;
    /// Records what a host's reply to a probe confirms.
    void confirmThrough(const ConfigSummary &summary, TimePoint probeSentAt);
    void applyReport(const HostName &from, const std::vector<MemberUpdate> &updates,
                     const ConfigSummary &config, TimePoint now);
    void compareConfig(const HostName &from, const ConfigSummary &config, TimePoint now);
    [[nodiscard]] bool isPullDue(const ConfigSummary &config, TimePoint now) const;
    void logViewChange();

    const MemberUpdate self_;
    Membership membership_;
    ConfigState &config_;
    SiblingSender &sender_;
    LogSink &log_;
    const OnConfig onConfig_;
    std::map<HostName, PeerReport> peerReports_;
    std::vector<HostName> seeds_; ///< named by their addresses
    std::size_t listedHosts_ = 1;
    TimePoint startedAt_ {};
    std::uint64_t loggedView_ = 0; ///< number of the view that was logged last
    std::vector<Member> loggedMembers_; ///< that view
    std::optional<HostName> source_;
    /// Since when this host's configuration has differed from that of the source, or of any host if
    /// there is no source.
    std::optional<TimePoint> differsSince_;
    TimePoint nextPull_ {};
};

} // namespace pimentostage
