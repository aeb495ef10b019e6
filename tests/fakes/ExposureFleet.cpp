#include "tests/fakes/ExposureFleet.h"

#include <algorithm>

namespace pimentostage {

ExposureFleet::ExposureFleet(std::size_t hosts, const RolloutLimits &limits, std::uint64_t seed)
    : limits_(limits)
    , random_(seed)
    , hosts_(hosts)
    , hasLeft_(hosts, false)
{
    for (std::size_t i = 0; i < hosts; ++i) {
        hosts_[i].name_ = HostName("host-" + std::to_string(i));
        hosts_[i].budget_ = std::make_unique<ExposureBudget>(hosts_[i].incarnation_);
    }
    holders_.push_back(std::make_unique<ExposureAllocator>(limits_, Epoch { 1 }, true));
}

void ExposureFleet::arrive(std::size_t host, std::size_t requests)
{
    Host &entry = hosts_[host];
    for (std::size_t i = 0; i < requests; ++i) {
        ++requests_;
        entry.budget_->recordRequest();
        if (entry.budget_->trySend(now_)) {
            ++sentToTarget_;
            if (now_ >= entry.newestLeaseSince_ + kExposureLease)
                wasSentOutOfTouch_ = true;
        } else if (entry.budget_->mayUseCurrent(now_)) {
            ++sentToCurrent_;
        } else if (entry.oldestLeaseSince_ == TimePoint::max()
                       ? !entry.isLate_
                       : now_ < entry.oldestLeaseSince_ + kCurrentLease) {
            wasRefusedInTouch_ = true;
        }
    }
}

void ExposureFleet::report(std::size_t host)
{
    Host &entry = hosts_[host];
    if (random_.below(4) != 0)
        entry.knownEpoch_ = Epoch { holders_.size() };
    messages_.push_back({ host, now_, entry.budget_->report(entry.knownEpoch_), {} });
}

void ExposureFleet::deliver(bool isInOrder, bool isRepeated)
{
    if (messages_.empty())
        return;
    const std::size_t index = isInOrder ? 0 : random_.below(messages_.size());
    const Message message = messages_[index];
    if (!isRepeated)
        messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
    receive(message);
}

void ExposureFleet::lose()
{
    if (!messages_.empty())
        messages_.erase(messages_.begin()
                        + static_cast<std::ptrdiff_t>(random_.below(messages_.size())));
}

void ExposureFleet::receive(const Message &message)
{
    if (message.use_)
        receiveReport(message);
    else
        receiveLease(message);
}

void ExposureFleet::receiveReport(const Message &message)
{
    const ExposureUse &use = *message.use_;
    // A report reaches the holder of its epoch, or a later one.
    const std::size_t first = use.epoch_.value_ - 1;
    const std::size_t holder = first + random_.below(holders_.size() - first);
    const auto lease = holders_[holder]->allocate(hosts_[message.host_].name_, use, now_);
    if (!lease)
        return;
    const bool isLatest = holder + 1 == holders_.size() && first == holder
                          && use.incarnation_ == hosts_[message.host_].incarnation_;
    if (isLatest && use.hasLeftCurrent_)
        hasLeft_[message.host_] = true;
    messages_.push_back({ message.host_, message.reportedAt_, std::nullopt, *lease });
}

void ExposureFleet::receiveLease(const Message &message)
{
    Host &host = hosts_[message.host_];
    const ExposureUse before = host.budget_->report(Epoch {});
    host.budget_->apply(message.lease_, message.reportedAt_);
    const ExposureUse after = host.budget_->report(Epoch {});
    const bool isApplied
        = after.sequence_ > 0
          && (after.epoch_ != before.epoch_ || after.sequence_ != before.sequence_);
    if (isApplied) {
        host.newestLeaseSince_ = std::max(host.newestLeaseSince_, message.reportedAt_);
        host.oldestLeaseSince_ = std::min(host.oldestLeaseSince_, message.reportedAt_);
    }
}

void ExposureFleet::restartHost(std::size_t host)
{
    Host &entry = hosts_[host];
    entry.incarnation_ = entry.incarnation_.next();
    // A process reads the state of roll-outs in the store before it is ready.
    entry.knownEpoch_ = Epoch { holders_.size() };
    entry.budget_ = std::make_unique<ExposureBudget>(entry.incarnation_, true);
    entry.isLate_ = true;
    entry.newestLeaseSince_ = {};
    entry.oldestLeaseSince_ = TimePoint::max();
    hasLeft_[host] = false;
}

void ExposureFleet::changeHolder()
{
    const Epoch epoch { holders_.size() + 1 };
    holders_.push_back(std::make_unique<ExposureAllocator>(limits_, epoch, false));
    hasLeft_.assign(hosts_.size(), false);
}

void ExposureFleet::setVerdict(const RolloutVerdict &verdict)
{
    holders_.back()->onVerdict(verdict, now_);
}

bool ExposureFleet::hasEveryHostLeft() const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        if (!hasLeft_[i] && !holders_.back()->hasCurrentLeaseExpired(hosts_[i].name_, now_))
            return false;
    }
    return true;
}

} // namespace pimentostage
