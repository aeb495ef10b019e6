#include "pimentostage/sibling/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace pimentostage {

namespace {

// Each update is sent this many times per doubling of the fleet's size.
constexpr std::size_t kSendsPerDoubling = 3;
constexpr std::size_t kMaxUpdatesPerMessage = 48;

bool isInViewState(Liveness liveness)
{
    return liveness == Liveness::Alive || liveness == Liveness::Suspect;
}

} // namespace

Membership::Membership(const MemberUpdate &self, Random random, const MembershipTiming &timing)
    : self_(self)
    , random_(random)
    , timing_(timing)
    , lastSequence_(self.member_.incarnation_.value_)
{ }

void Membership::addListed(const HostName &host, const Address &address, const ZoneName &zone)
{
    if (host == self_.member_.host_ || others_.contains(host))
        return;
    TrackedHost tracked;
    // Incarnation zero: no update on the host was received yet; it is probed but not in the view.
    tracked.update_
        = MemberUpdate { Member { host, Incarnation {} }, address, zone, 0, Liveness::Dead };
    others_.emplace(host, tracked);
}

void Membership::dropUnlisted(const std::set<HostName> &listed)
{
    std::erase_if(others_, [&](const auto &entry) {
        return !listed.contains(entry.first) && !isInViewState(entry.second.update_.liveness_);
    });
}

std::vector<OutgoingProbe> Membership::tick(TimePoint now)
{
    std::vector<OutgoingProbe> probes;
    extendTimeoutsAfterPause(now);
    expireProbes(now, probes);
    declareDead(now);
    if (now >= nextProbesAt_) {
        nextProbesAt_ = now + timing_.probePeriod_;
        startProbes(now, probes);
    }
    return probes;
}

// Replies that arrived during a pause of this process have not been read yet, so the pause does not
// count towards the timeouts of probes and suspicions.
void Membership::extendTimeoutsAfterPause(TimePoint now)
{
    const Duration pause = lastTickAt_ == TimePoint {} ? Duration::zero() : now - lastTickAt_;
    lastTickAt_ = now;
    if (pause < timing_.directTimeout_)
        return;
    for (auto &[sequence, probe] : pendingProbes_)
        probe.timeoutFrom_ += pause;
    for (auto &[host, tracked] : others_)
        tracked.suspectSince_ += pause;
}

void Membership::startProbes(TimePoint now, std::vector<OutgoingProbe> &probes)
{
    std::size_t count = std::min(timing_.probesPerPeriod_, others_.size());
    if (count > 0 && alwaysProbed_ && others_.contains(*alwaysProbed_)) {
        startProbe(*alwaysProbed_, now, probes);
        --count;
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (const auto target = nextTarget())
            startProbe(*target, now, probes);
    }
}

void Membership::startProbe(const HostName &target, TimePoint now,
                            std::vector<OutgoingProbe> &probes)
{
    const std::uint64_t sequence = ++lastSequence_;
    pendingProbes_[sequence] = PendingProbe { target, now, now, false };
    probes.push_back(OutgoingProbe { target, target, sequence });
}

// Hosts are probed in random order, each once per round. Dead hosts are included, so that they are
// rediscovered after a network partition.
std::optional<HostName> Membership::nextTarget()
{
    if (probeRound_.empty()) {
        for (const auto &[host, tracked] : others_) {
            if (tracked.update_.liveness_ != Liveness::Left)
                probeRound_.push_back(host);
        }
        std::shuffle(probeRound_.begin(), probeRound_.end(), random_.engine());
    }
    while (!probeRound_.empty()) {
        const HostName host = probeRound_.back();
        probeRound_.pop_back();
        if (others_.contains(host))
            return host;
    }
    return std::nullopt;
}

void Membership::expireProbes(TimePoint now, std::vector<OutgoingProbe> &probes)
{
    std::vector<OutgoingProbe> indirect;
    for (auto probe = pendingProbes_.begin(); probe != pendingProbes_.end();) {
        const Duration wait
            = probe->second.isIndirect_ ? timing_.indirectTimeout_ : timing_.directTimeout_;
        if (now < probe->second.timeoutFrom_ + wait) {
            ++probe;
            continue;
        }
        const PendingProbe expired = probe->second;
        const std::uint64_t sequence = probe->first;
        probe = pendingProbes_.erase(probe);
        const auto tracked = others_.find(expired.target_);
        const bool isUnanswered = tracked != others_.end()
                                  && tracked->second.update_.liveness_ == Liveness::Alive
                                  && tracked->second.lastAckAt_ < expired.timeoutFrom_;
        if (!isUnanswered)
            continue;
        const std::vector<HostName> relays = chooseRelays(expired.target_);
        if (expired.isIndirect_ || relays.empty()) {
            markSuspect(expired.target_, now);
            continue;
        }
        for (const HostName &relay : relays)
            indirect.push_back(OutgoingProbe { expired.target_, relay, sequence });
    }
    for (const OutgoingProbe &outgoing : indirect) {
        pendingProbes_[outgoing.sequence_] = PendingProbe { outgoing.target_, now, now, true };
        probes.push_back(outgoing);
    }
}

std::vector<HostName> Membership::chooseRelays(const HostName &target) const
{
    std::vector<HostName> hosts;
    for (const auto &[host, tracked] : others_) {
        if (host != target && tracked.update_.liveness_ == Liveness::Alive)
            hosts.push_back(host);
    }
    Random random = random_;
    std::shuffle(hosts.begin(), hosts.end(), random.engine());
    hosts.resize(std::min(hosts.size(), kIndirectProbes));
    return hosts;
}

void Membership::markSuspect(const HostName &host, TimePoint now)
{
    TrackedHost &tracked = others_.at(host);
    MemberUpdate update = tracked.update_;
    update.liveness_ = Liveness::Suspect;
    applyUpdate(tracked, update);
    tracked.suspectSince_ = now;
}

void Membership::declareDead(TimePoint now)
{
    for (auto &[host, tracked] : others_) {
        const bool hasTimedOut = tracked.update_.liveness_ == Liveness::Suspect
                                 && now >= tracked.suspectSince_ + timing_.suspicionTimeout_;
        if (!hasTimedOut)
            continue;
        MemberUpdate update = tracked.update_;
        update.liveness_ = Liveness::Dead;
        applyUpdate(tracked, update);
    }
}

void Membership::onAck(const HostName &host, std::uint64_t sequence, TimePoint now)
{
    pendingProbes_.erase(sequence);
    const auto found = others_.find(host);
    if (found != others_.end())
        found->second.lastAckAt_ = now;
}

std::optional<TimePoint> Membership::directProbeSentAt(std::uint64_t sequence) const
{
    const auto probe = pendingProbes_.find(sequence);
    if (probe == pendingProbes_.end() || probe->second.isIndirect_)
        return std::nullopt;
    return probe->second.sentAt_;
}

bool Membership::supersedes(const MemberUpdate &next, const MemberUpdate &recorded)
{
    const auto rank = [](const MemberUpdate &update) {
        return std::make_tuple(update.member_.incarnation_, update.refutation_,
                               static_cast<int>(update.liveness_));
    };
    return rank(next) > rank(recorded);
}

void Membership::merge(const MemberUpdate &update, TimePoint now)
{
    if (update.member_.host_ == self_.member_.host_) {
        refute(update);
        return;
    }
    const auto found = others_.find(update.member_.host_);
    if (found == others_.end()) {
        TrackedHost tracked;
        tracked.update_ = update;
        tracked.suspectSince_ = now;
        others_.emplace(update.member_.host_, tracked);
        ++viewNumber_;
        return;
    }
    TrackedHost &tracked = found->second;
    if (!supersedes(update, tracked.update_))
        return;
    applyUpdate(tracked, update);
    if (update.liveness_ == Liveness::Suspect)
        tracked.suspectSince_ = now;
}

// Another host assumes that this process is not alive; a higher refutation number supersedes that.
void Membership::refute(const MemberUpdate &update)
{
    const bool isAboutThisProcess = update.member_.incarnation_ == self_.member_.incarnation_
                                    && update.liveness_ != Liveness::Alive
                                    && update.refutation_ >= self_.refutation_
                                    && self_.liveness_ == Liveness::Alive;
    if (!isAboutThisProcess)
        return;
    self_.refutation_ = update.refutation_ + 1;
    timesSelfSent_ = 0;
}

void Membership::applyUpdate(TrackedHost &tracked, const MemberUpdate &update)
{
    const bool changesView
        = isInViewState(tracked.update_.liveness_) != isInViewState(update.liveness_)
          || tracked.update_.member_ != update.member_;
    tracked.update_ = update;
    tracked.timesSent_ = 0;
    viewNumber_ += changesView ? 1 : 0;
}

std::vector<MemberUpdate> Membership::updatesToSend(const HostName &receiver)
{
    const std::size_t maxSends
        = kSendsPerDoubling * static_cast<std::size_t>(std::bit_width(others_.size() + 1));
    // Each message carries this host's own state, for receivers that no longer track it.
    std::vector<MemberUpdate> updates { self_ };
    ++timesSelfSent_;
    // If the receiver is recorded as not alive, each message to it carries that update, because
    // only the receiver itself can refute it. After a long partition both sides have used up the
    // limited number of sends without reaching each other.
    const auto known = others_.find(receiver);
    const bool isReceiverNotAlive = known != others_.end()
                                    && known->second.update_.liveness_ != Liveness::Alive
                                    && known->second.update_.member_.incarnation_ != Incarnation {};
    if (isReceiverNotAlive)
        updates.push_back(known->second.update_);
    std::vector<TrackedHost *> due;
    for (auto &[host, tracked] : others_) {
        const bool maySend = tracked.timesSent_ < maxSends
                             && tracked.update_.member_.incarnation_ != Incarnation {};
        if (maySend)
            due.push_back(&tracked);
    }
    // The newest updates first: in the order of names, the last of 195 hosts that start at once
    // would wait until all others have been sent often enough.
    const std::size_t count = std::min(due.size(), kMaxUpdatesPerMessage - updates.size());
    std::partial_sort(
        due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](const TrackedHost *a, const TrackedHost *b) { return a->timesSent_ < b->timesSent_; });
    for (std::size_t i = 0; i < count; ++i) {
        ++due[i]->timesSent_;
        updates.push_back(due[i]->update_);
    }
    return updates;
}

std::vector<MemberUpdate> Membership::updatesForNewMember() const
{
    std::vector<MemberUpdate> updates = all();
    std::erase_if(updates,
                  [](const MemberUpdate &update) { return !isInViewState(update.liveness_); });
    return updates;
}

void Membership::leave()
{
    self_.liveness_ = Liveness::Left;
    ++viewNumber_;
}

std::vector<Member> Membership::view() const
{
    std::vector<Member> members;
    if (isInViewState(self_.liveness_))
        members.push_back(self_.member_);
    for (const auto &[host, tracked] : others_) {
        if (isInViewState(tracked.update_.liveness_))
            members.push_back(tracked.update_.member_);
    }
    std::sort(members.begin(), members.end());
    return members;
}

std::vector<Member> Membership::highCapacityMembers() const
{
    const std::vector<MemberUpdate> tracked = all();
    std::uint32_t maxCapacity = 0;
    for (const MemberUpdate &update : tracked)
        maxCapacity = isInViewState(update.liveness_) ? std::max(maxCapacity, update.capacity_)
                                                      : maxCapacity;
    std::vector<Member> members;
    for (const MemberUpdate &update : tracked) {
        if (isInViewState(update.liveness_) && 2 * update.capacity_ >= maxCapacity)
            members.push_back(update.member_);
    }
    std::sort(members.begin(), members.end());
    return members;
}

bool Membership::isInView(const Member &member) const
{
    if (member == self_.member_)
        return isInViewState(self_.liveness_);
    const auto found = others_.find(member.host_);
    return found != others_.end() && found->second.update_.member_ == member
           && isInViewState(found->second.update_.liveness_);
}

std::optional<MemberUpdate> Membership::find(const HostName &host) const
{
    if (host == self_.member_.host_)
        return self_;
    const auto found = others_.find(host);
    if (found == others_.end())
        return std::nullopt;
    return found->second.update_;
}

std::vector<MemberUpdate> Membership::all() const
{
    std::vector<MemberUpdate> all { self_ };
    for (const auto &[host, tracked] : others_)
        all.push_back(tracked.update_);
    return all;
}

} // namespace pimentostage
