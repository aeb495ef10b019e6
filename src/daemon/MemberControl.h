#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <map>
#include <optional>

namespace pimentostage {

/// Runs Membership over the sibling links and spreads the configuration along with the probes.
///
/// Lives on the control thread.
class MemberControl
{
public:
    /// @param onConfig called after objects arrived from a sibling, with what they are.
    using OnConfig = std::function<void(const ConfigPush &)>;

    MemberControl(const MemberUpdate &self, Random random, const MembershipTiming &timing,
                  ConfigState &config, SiblingSender &sender, LogSink &log, OnConfig onConfig);

    /// Adds the entry hosts of the platform's list and forgets those it no longer names.
    void updateListed(const std::vector<ListedHost> &hosts);

    /// Makes @p source the host that is asked in each period how current the configuration is, and
    /// that is nearer to the store's readers; nobody at a reader.
    void setSource(const std::optional<HostName> &source);

    void tick(TimePoint now);

    void onMessage(const HostName &from, const Probe &probe, TimePoint now);
    void onMessage(const HostName &from, const ProbeAck &ack, TimePoint now);
    void onMessage(const HostName &from, const ConfigPull &pull);
    void onMessage(const ConfigPush &push);

    /// Tells the others that this host leaves.
    void leave();

    [[nodiscard]] Membership &membership() { return membership_; }
    [[nodiscard]] const Membership &membership() const { return membership_; }

    /// @return whether another host had an answer of the store lately.
    [[nodiscard]] bool othersHearStore(TimePoint now) const;

    /// @return whether a majority of the entry hosts that the platform lists has, by answers to
    ///         questions asked just now, the same configuration as this host.
    [[nodiscard]] bool agreesWithMajority(TimePoint now) const;

    /// @return whether this host's configuration differs from its source's although it has asked
    ///         for what it lacks. Only the store can help, as after a deletion that the source
    ///         never saw.
    [[nodiscard]] bool hasDiverged(TimePoint now) const;

    /// @return whether every listed entry host was heard, or had the time to be.
    [[nodiscard]] bool isSettled(TimePoint now) const;

private:
    struct Heard
    {
        TimePoint at_;
        std::optional<Duration> configAge_;
        TimePoint askedAt_ {}; ///< when the newest probe that it answered was sent
        std::uint64_t digest_ = 0; ///< of what confirmations are about, by that answer
    };

    ConfigSummary summary(TimePoint now) const;
    void take(const HostName &from, const std::vector<MemberUpdate> &updates,
              const ConfigSummary &config, TimePoint now);
    void compare(const HostName &from, const ConfigSummary &config, TimePoint now);
    [[nodiscard]] bool isPullDue(const ConfigSummary &config, TimePoint now) const;
    void logViewChange();

    const MemberUpdate self_;
    Membership membership_;
    ConfigState &config_;
    SiblingSender &sender_;
    LogSink &log_;
    const OnConfig onConfig_;
    std::map<HostName, Heard> heard_;
    std::size_t listedHosts_ = 1;
    TimePoint startedAt_ {};
    std::uint64_t loggedView_ = 0;
    std::optional<HostName> source_;
    /// Since when the configuration of the source, or of any host if there is no source, differs.
    std::optional<TimePoint> differsSince_;
    TimePoint nextPull_ {};
};

} // namespace pimentostage
