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

/// What is believed of an entry host's process.
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

/// Capacity of a host with one core, in thousandths of a core.
inline constexpr std::uint32_t kWholeCore = 1000;

/// Update on one entry host, passed on from host to host.
struct MemberUpdate
{
    Member member_;
    Address address_;
    ZoneName zone_;
    std::uint64_t refutation_ = 0; ///< raised by the host itself to deny a suspicion
    Liveness liveness_ = Liveness::Alive;
    std::uint32_t capacity_ = kWholeCore; ///< what the host can bear, in thousandths of a core

    auto operator<=>(const MemberUpdate &) const = default;
};

/// A probe to send.
struct ProbeOrder
{
    HostName target_; ///< the host whose liveness is in question
    HostName via_; ///< the host to send the probe to; equals target_ if direct
    std::uint64_t sequence_ = 0;
};

/// How often and how patiently entry hosts probe each other.
struct MembershipTiming
{
    Duration probePeriod_ = std::chrono::milliseconds(100);
    std::size_t probesPerPeriod_ = 2;
    Duration directWait_ = std::chrono::milliseconds(100); ///< for the answer of a probe
    Duration indirectWait_ = std::chrono::milliseconds(100); ///< for one through another host
    Duration suspicion_ = std::chrono::milliseconds(200); ///< before a suspect counts as dead

    /// @return the longest time from the loss of a host to its declaration as dead, once it is
    ///         probed.
    [[nodiscard]] constexpr Duration detection() const
    {
        return probePeriod_ + directWait_ + indirectWait_ + suspicion_;
    }
};

/// Liveness of the entry hosts by probing a few of them at a time.
///
/// Each host sends a constant number of probes in each period, whatever the size of the fleet. A
/// host that does not answer is probed through others, then suspected, then declared dead; updates
/// travel on probes and their answers. A new incarnation always supersedes an older one.
class Membership
{
public:
    Membership(const MemberUpdate &self, Random random, const MembershipTiming &timing = {});

    /// Adds hosts named by the platform's list that are not known yet.
    void addListed(const HostName &host, const Address &address, const ZoneName &zone);

    /// Forgets hosts that the platform's list no longer names and that do not answer.
    void dropUnlisted(const std::set<HostName> &listed);

    /// Makes @p host, or nobody, one of those probed in each period.
    void probeAlways(const std::optional<HostName> &host) { alwaysProbed_ = host; }

    /// @return the probes due at @p now.
    std::vector<ProbeOrder> tick(TimePoint now);

    /// Notes that @p host answered probe @p sequence, directly or through another host.
    void onAck(const HostName &host, std::uint64_t sequence, TimePoint now);

    /// @return when probe @p sequence was sent straight to its target; nothing if its answer came
    ///         too late, or is one through another host.
    [[nodiscard]] std::optional<TimePoint> askedAt(std::uint64_t sequence) const;

    /// Takes updates from another host.
    void merge(const MemberUpdate &update, TimePoint now);

    /// @return updates worth passing on with the next message; each call counts as one passing on.
    std::vector<MemberUpdate> updatesToPassOn(const HostName &receiver);

    /// Marks this host as leaving; the update travels with the next messages.
    void leave();

    /// @return processes believed to be alive or suspect, this one included, ordered by host.
    [[nodiscard]] std::vector<Member> view() const;
    /// @return the processes of view() with at least half of the greatest capacity there, ordered
    ///         by host. What one host does for all is theirs first.
    [[nodiscard]] std::vector<Member> strongest() const;
    /// @return a number that rises with each change of view().
    [[nodiscard]] std::uint64_t viewNumber() const { return viewNumber_; }
    [[nodiscard]] bool isInView(const Member &member) const;
    /// @return the newest process known of @p host, or nothing.
    [[nodiscard]] std::optional<MemberUpdate> find(const HostName &host) const;
    /// @return everything known, this host included.
    [[nodiscard]] std::vector<MemberUpdate> all() const;

    static constexpr std::size_t kIndirectProbes = 2;

private:
    struct Tracked
    {
        MemberUpdate update_;
        TimePoint suspectSince_ {};
        TimePoint heardAt_ {};
        std::size_t timesPassedOn_ = 0;
    };
    struct Outstanding
    {
        HostName target_;
        TimePoint askedAt_;
        TimePoint sentAt_; ///< as askedAt_, or later by the pauses of this process
        bool isIndirect_ = false;
    };

    void prolongByOwnPause(TimePoint now);
    void startProbes(TimePoint now, std::vector<ProbeOrder> &orders);
    void startProbe(const HostName &target, TimePoint now, std::vector<ProbeOrder> &orders);
    void expireProbes(TimePoint now, std::vector<ProbeOrder> &orders);
    void declareDead(TimePoint now);
    void suspect(const HostName &host, TimePoint now);
    void refute(const MemberUpdate &update);
    void replace(Tracked &tracked, const MemberUpdate &update);
    std::optional<HostName> nextTarget();
    [[nodiscard]] std::vector<HostName> otherHosts(const HostName &except) const;
    static bool supersedes(const MemberUpdate &next, const MemberUpdate &known);

    MemberUpdate self_;
    Random random_;
    const MembershipTiming timing_;
    std::map<HostName, Tracked> others_;
    std::map<std::uint64_t, Outstanding> outstanding_;
    std::optional<HostName> alwaysProbed_;
    std::vector<HostName> round_; ///< hosts still to be probed in this round
    std::uint64_t lastSequence_ = 0;
    std::uint64_t viewNumber_ = 1;
    std::size_t timesSelfPassedOn_ = 0;
    TimePoint nextProbes_ {};
    TimePoint tickedAt_ {};
};

} // namespace pimentostage
