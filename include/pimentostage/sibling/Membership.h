#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentostage {

/// Assumed state of an entry host's process.
enum class Liveness { Alive, Suspect, Dead, Left };

template <>
struct EnumTable<Liveness>
{
    static constexpr std::array kRows {
        EnumName<Liveness> { Liveness::Alive, "alive" },
        EnumName<Liveness> { Liveness::Suspect, "suspect" },
        EnumName<Liveness> { Liveness::Dead, "dead" },
        EnumName<Liveness> { Liveness::Left, "left" },
    };
};

/// Capacity of one core; capacities are given in millicores.
inline constexpr std::uint32_t kMillicoresPerCore = 1000;

/// State of one entry host, disseminated from host to host.
struct MemberUpdate
{
    Member member_;
    Address address_;
    ZoneName zone_;
    std::uint64_t refutation_ = 0; ///< raised by the host itself to refute a suspicion
    Liveness liveness_ = Liveness::Alive;
    std::uint32_t capacity_ = kMillicoresPerCore; ///< in millicores

    auto operator<=>(const MemberUpdate &) const = default;
};

/// A probe to send.
struct OutgoingProbe
{
    HostName target_; ///< the host to be checked
    HostName via_; ///< receiver of the probe; equals target_ for a direct probe
    std::uint64_t sequence_ = 0;
};

/// Period and timeouts of the probes between entry hosts.
struct MembershipTiming
{
    Duration probePeriod_ = std::chrono::milliseconds(100);
    std::size_t probesPerPeriod_ = 2;
    Duration directTimeout_ = std::chrono::milliseconds(100); ///< for the reply to a direct probe
    Duration indirectTimeout_
        = std::chrono::milliseconds(100); ///< for the reply to an indirect probe
    Duration suspicionTimeout_
        = std::chrono::milliseconds(200); ///< before a suspect is declared dead

    /// @return the maximum time between the loss of a host and its declaration as dead, provided
    ///         that it is probed in the next period.
    [[nodiscard]] constexpr Duration maxDetectionTime() const
    {
        return probePeriod_ + directTimeout_ + indirectTimeout_ + suspicionTimeout_;
    }
};

/// Tracks the liveness of the entry hosts by probing a few of them at a time.
///
/// Each host sends a constant number of probes per period, regardless of the size of the fleet. A
/// host that does not reply is probed through other hosts, then suspected, then declared dead.
/// Updates are piggybacked on probes and their replies. A newer incarnation always supersedes an
/// older one.
class Membership
{
public:
    Membership(const MemberUpdate &self, Random random, const MembershipTiming &timing = {});

    /// Adds a host from the platform's list unless it is tracked already.
    void addListed(const HostName &host, const Address &address, const ZoneName &zone);

    /// Removes hosts that are neither in @p listed, the platform's list, nor in the view.
    void dropUnlisted(const std::set<HostName> &listed);

    /// Includes @p host in the probes of each period; nullopt includes none.
    void setAlwaysProbedHost(const std::optional<HostName> &host) { alwaysProbed_ = host; }

    /// Expires probes and suspicions.
    /// @return the probes to send at @p now.
    std::vector<OutgoingProbe> tick(TimePoint now);

    /// Records the reply of @p host to probe @p sequence, direct or through another host.
    void onAck(const HostName &host, std::uint64_t sequence, TimePoint now);

    /// @return when the direct probe @p sequence was sent; nothing if it is no longer pending
    ///         or was replaced by an indirect one.
    [[nodiscard]] std::optional<TimePoint> directProbeSentAt(std::uint64_t sequence) const;

    /// Applies @p update, received from another host, if it supersedes the recorded state.
    void merge(const MemberUpdate &update, TimePoint now);

    /// @return updates to piggyback on the next message to @p receiver; each call counts as one
    ///         transmission of the updates returned.
    std::vector<MemberUpdate> updatesToSend(const HostName &receiver);

    /// @return the updates on all processes in the view, for the reply to a process that was not.
    [[nodiscard]] std::vector<MemberUpdate> updatesForNewMember() const;

    /// Marks this host as left; the next messages carry the update.
    void leave();

    /// @return the processes assumed to be alive or suspect, this one included, ordered by host.
    [[nodiscard]] std::vector<Member> view() const;
    /// @return the processes of view() with at least half of the largest capacity in it, ordered
    ///         by host. They are preferred for tasks that one host performs for the whole fleet.
    [[nodiscard]] std::vector<Member> highCapacityMembers() const;
    /// @return a number that increases with each change of view().
    [[nodiscard]] std::uint64_t viewNumber() const { return viewNumber_; }
    [[nodiscard]] bool isInView(const Member &member) const;
    /// @return the newest process recorded for @p host, or nothing.
    [[nodiscard]] std::optional<MemberUpdate> find(const HostName &host) const;
    /// @return the state of all tracked hosts, this one included.
    [[nodiscard]] std::vector<MemberUpdate> all() const;

    static constexpr std::size_t kIndirectProbes = 2;

private:
    struct TrackedHost
    {
        MemberUpdate update_;
        TimePoint suspectSince_ {};
        TimePoint lastAckAt_ {};
        std::size_t timesSent_ = 0;
    };
    struct PendingProbe
    {
        HostName target_;
        TimePoint sentAt_;
        TimePoint timeoutFrom_; ///< sentAt_, plus the pauses of this process since
        bool isIndirect_ = false;
    };

    void extendTimeoutsAfterPause(TimePoint now);
    void startProbes(TimePoint now, std::vector<OutgoingProbe> &probes);
    void startProbe(const HostName &target, TimePoint now, std::vector<OutgoingProbe> &probes);
    void expireProbes(TimePoint now, std::vector<OutgoingProbe> &probes);
    void declareDead(TimePoint now);
    void markSuspect(const HostName &host, TimePoint now);
    void refute(const MemberUpdate &update);
    void applyUpdate(TrackedHost &tracked, const MemberUpdate &update);
    std::optional<HostName> nextTarget();
    [[nodiscard]] std::vector<HostName> chooseRelays(const HostName &target) const;
    static bool supersedes(const MemberUpdate &next, const MemberUpdate &recorded);

    MemberUpdate self_;
    Random random_;
    const MembershipTiming timing_;
    std::map<HostName, TrackedHost> others_;
    std::map<std::uint64_t, PendingProbe> pendingProbes_;
    std::optional<HostName> alwaysProbed_;
    std::vector<HostName> probeRound_; ///< hosts not yet probed in this round
    /// Of the last probe. Counts on from the incarnation, whose unit of time is shorter than that
    /// between two probes, so that successive processes of a host use different numbers.
    std::uint64_t lastSequence_;
    std::uint64_t viewNumber_ = 1;
    std::size_t timesSelfSent_ = 0;
    TimePoint nextProbesAt_ {};
    TimePoint lastTickAt_ {};
};

} // namespace pimentostage
