#include "pimentostage/sibling/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace pimentostage {

namespace {

// Each update is passed on this many times for each doubling of the fleet.
constexpr std::size_t kPassesPerDoubling = 3;
constexpr std::size_t kMostUpdatesPerMessage = 8;

bool isInViewState(Liveness liveness)
{
    return liveness == Liveness::Alive || liveness == Liveness::Suspect;
}

} // namespace

Membership::Membership(const MemberUpdate &self, Random random, const MembershipTiming &timing)
    : self_(self)
    , random_(random)
    , timing_(timing)
{ }

void Membership::addListed(const HostName &host, const Address &address, const ZoneName &zone)
{
    if (host == self_.member_.host_ || others_.contains(host))
        return;
    Tracked tracked;
    // Incarnation zero: nothing was heard of the host yet; it is probed but not in the view.
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

std::vector<ProbeOrder> Membership::tick(TimePoint now)
{
    std::vector<ProbeOrder> orders;
    prolongByOwnPause(now);
    expireProbes(now, orders);
    declareDead(now);
    if (now >= nextProbes_) {
        nextProbes_ = now + timing_.probePeriod_;
        startProbes(now, orders);
    }
    return orders;
}

// Answers that came during a pause of this process have not been read yet: nobody is suspected, or
// declared dead, for the time of the pause.
void Membership::prolongByOwnPause(TimePoint now)
{
    const Duration pause = tickedAt_ == TimePoint {} ? Duration::zero() : now - tickedAt_;
    tickedAt_ = now;
    if (pause < timing_.directWait_)
        return;
    for (auto &[sequence, probe] : outstanding_)
        probe.sentAt_ += pause;
    for (auto &[host, tracked] : others_)
        tracked.suspectSince_ += pause;
}

void Membership::startProbes(TimePoint now, std::vector<ProbeOrder> &orders)
{
    std::size_t count = std::min(timing_.probesPerPeriod_, others_.size());
    if (count > 0 && alwaysProbed_ && others_.contains(*alwaysProbed_)) {
        startProbe(*alwaysProbed_, now, orders);
        --count;
    }
    for (std::size_t i = 0; i < count; ++i) {
        if (const auto target = nextTarget())
            startProbe(*target, now, orders);
    }
}

void Membership::startProbe(const HostName &target, TimePoint now, std::vector<ProbeOrder> &orders)
{
    const std::uint64_t sequence = ++lastSequence_;
    outstanding_[sequence] = Outstanding { target, now, now, false };
    orders.push_back(ProbeOrder { target, target, sequence });
}

// Hosts are probed in random order, each once in a round; dead ones too, so that they are found
// again after a cut.
std::optional<HostName> Membership::nextTarget()
{
    if (round_.empty()) {
        for (const auto &[host, tracked] : others_) {
            if (tracked.update_.liveness_ != Liveness::Left)
                round_.push_back(host);
        }
        std::shuffle(round_.begin(), round_.end(), random_.engine());
    }
    while (!round_.empty()) {
        const HostName host = round_.back();
        round_.pop_back();
        if (others_.contains(host))
            return host;
    }
    return std::nullopt;
}

void Membership::expireProbes(TimePoint now, std::vector<ProbeOrder> &orders)
{
    std::vector<ProbeOrder> indirect;
    for (auto probe = outstanding_.begin(); probe != outstanding_.end();) {
        const Duration wait
            = probe->second.isIndirect_ ? timing_.indirectWait_ : timing_.directWait_;
        if (now < probe->second.sentAt_ + wait) {
            ++probe;
            continue;
        }
        const Outstanding expired = probe->second;
        const std::uint64_t sequence = probe->first;
        probe = outstanding_.erase(probe);
        const auto tracked = others_.find(expired.target_);
        const bool isQuestion = tracked != others_.end()
                                && tracked->second.update_.liveness_ == Liveness::Alive
                                && tracked->second.heardAt_ < expired.sentAt_;
        if (!isQuestion)
            continue;
        const std::vector<HostName> helpers = otherHosts(expired.target_);
        if (expired.isIndirect_ || helpers.empty()) {
            suspect(expired.target_, now);
            continue;
        }
        for (const HostName &helper : helpers)
            indirect.push_back(ProbeOrder { expired.target_, helper, sequence });
    }
    for (const ProbeOrder &order : indirect) {
        outstanding_[order.sequence_] = Outstanding { order.target_, now, now, true };
        orders.push_back(order);
    }
}

std::vector<HostName> Membership::otherHosts(const HostName &except) const
{
    std::vector<HostName> hosts;
    for (const auto &[host, tracked] : others_) {
        if (host != except && tracked.update_.liveness_ == Liveness::Alive)
            hosts.push_back(host);
    }
    Random random = random_;
    std::shuffle(hosts.begin(), hosts.end(), random.engine());
    hosts.resize(std::min(hosts.size(), kIndirectProbes));
    return hosts;
}

void Membership::suspect(const HostName &host, TimePoint now)
{
    Tracked &tracked = others_.at(host);
    MemberUpdate update = tracked.update_;
    update.liveness_ = Liveness::Suspect;
    replace(tracked, update);
    tracked.suspectSince_ = now;
}

void Membership::declareDead(TimePoint now)
{
    for (auto &[host, tracked] : others_) {
        const bool isOver = tracked.update_.liveness_ == Liveness::Suspect
                            && now >= tracked.suspectSince_ + timing_.suspicion_;
        if (!isOver)
            continue;
        MemberUpdate update = tracked.update_;
        update.liveness_ = Liveness::Dead;
        replace(tracked, update);
    }
}

void Membership::onAck(const HostName &host, std::uint64_t sequence, TimePoint now)
{
    outstanding_.erase(sequence);
    const auto found = others_.find(host);
    if (found != others_.end())
        found->second.heardAt_ = now;
}

std::optional<TimePoint> Membership::askedAt(std::uint64_t sequence) const
{
    const auto probe = outstanding_.find(sequence);
    if (probe == outstanding_.end() || probe->second.isIndirect_)
        return std::nullopt;
    return probe->second.askedAt_;
}

bool Membership::supersedes(const MemberUpdate &next, const MemberUpdate &known)
{
    const auto rank = [](const MemberUpdate &update) {
        return std::make_tuple(update.member_.incarnation_, update.refutation_,
                               static_cast<int>(update.liveness_));
    };
    return rank(next) > rank(known);
}

void Membership::merge(const MemberUpdate &update, TimePoint now)
{
    if (update.member_.host_ == self_.member_.host_) {
        refute(update);
        return;
    }
    const auto found = others_.find(update.member_.host_);
    if (found == others_.end()) {
        Tracked tracked;
        tracked.update_ = update;
        tracked.suspectSince_ = now;
        others_.emplace(update.member_.host_, tracked);
        ++viewNumber_;
        return;
    }
    Tracked &tracked = found->second;
    if (!supersedes(update, tracked.update_))
        return;
    replace(tracked, update);
    if (update.liveness_ == Liveness::Suspect)
        tracked.suspectSince_ = now;
}

// Others believe that this process is not alive; a higher refutation number denies it.
void Membership::refute(const MemberUpdate &update)
{
    const bool isAboutUs = update.member_.incarnation_ == self_.member_.incarnation_
                           && update.liveness_ != Liveness::Alive
                           && update.refutation_ >= self_.refutation_
                           && self_.liveness_ == Liveness::Alive;
    if (!isAboutUs)
        return;
    self_.refutation_ = update.refutation_ + 1;
    timesSelfPassedOn_ = 0;
}

void Membership::replace(Tracked &tracked, const MemberUpdate &update)
{
    const bool changesView
        = isInViewState(tracked.update_.liveness_) != isInViewState(update.liveness_)
          || tracked.update_.member_ != update.member_;
    tracked.update_ = update;
    tracked.timesPassedOn_ = 0;
    viewNumber_ += changesView ? 1 : 0;
}

std::vector<MemberUpdate> Membership::updatesToPassOn(const HostName &receiver)
{
    const std::size_t mostPasses
        = kPassesPerDoubling * static_cast<std::size_t>(std::bit_width(others_.size() + 1));
    // This host always tells of itself: a receiver that lost track of it learns it again.
    std::vector<MemberUpdate> updates { self_ };
    ++timesSelfPassedOn_;
    // A host believed not to be alive is told so each time, for only it can deny it. After a long
    // cut both sides have passed on their updates in vain.
    const auto known = others_.find(receiver);
    const bool isDoubted = known != others_.end()
                           && known->second.update_.liveness_ != Liveness::Alive
                           && known->second.update_.member_.incarnation_ != Incarnation {};
    if (isDoubted)
        updates.push_back(known->second.update_);
    for (auto &[host, tracked] : others_) {
        const bool mayPassOn = tracked.timesPassedOn_ < mostPasses
                               && tracked.update_.member_.incarnation_ != Incarnation {};
        if (!mayPassOn)
            continue;
        ++tracked.timesPassedOn_;
        updates.push_back(tracked.update_);
        if (updates.size() >= kMostUpdatesPerMessage)
            break;
    }
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

std::vector<Member> Membership::strongest() const
{
    const std::vector<MemberUpdate> known = all();
    std::uint32_t most = 0;
    for (const MemberUpdate &update : known)
        most = isInViewState(update.liveness_) ? std::max(most, update.capacity_) : most;
    std::vector<Member> members;
    for (const MemberUpdate &update : known) {
        if (isInViewState(update.liveness_) && 2 * update.capacity_ >= most)
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
