#include "pimentostage/backend/GrantLedger.h"

#include <algorithm>

namespace pimentostage {

namespace {

bool overlaps(const KeyRange &a, const KeyRange &b)
{
    return a.from_ <= b.to_ && b.from_ <= a.to_;
}

} // namespace

void GrantLedger::onSent(OrderNumber number, const KeyRange &range, Duration hold)
{
    entries_.push_back(Entry { range, State::InFlight, number, hold, {} });
}

void GrantLedger::onOutcome(OrderNumber number, RangeOutcome outcome, TimePoint now)
{
    removeExpired(now);
    const auto entry = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &candidate) {
        return candidate.state_ == State::InFlight && candidate.number_ == number;
    });
    if (entry == entries_.end())
        return;
    const bool tookEffect = outcome == RangeOutcome::Accepted;
    const bool mayTakeEffect
        = outcome == RangeOutcome::Unanswered || outcome == RangeOutcome::Broken;
    if (!tookEffect && !mayTakeEffect) {
        entries_.erase(entry);
        return;
    }
    entry->state_ = tookEffect ? State::Held : State::Uncertain;
    entry->expiresAt_ = now + entry->holdDuration_;
    // A shorter hold of the same range adds nothing to a longer one.
    const Entry newest = *entry;
    std::erase_if(entries_, [&](const Entry &other) {
        return other.state_ == newest.state_ && other.range_ == newest.range_
               && other.expiresAt_ < newest.expiresAt_;
    });
}

void GrantLedger::onReleased(OrderNumber number, const KeyRange &range)
{
    std::vector<Entry> remaining;
    for (const Entry &entry : entries_) {
        const bool isReleased = entry.state_ == State::Held && entry.number_ < number
                                && overlaps(entry.range_, range);
        if (!isReleased) {
            remaining.push_back(entry);
            continue;
        }
        if (entry.range_.from_ < range.from_) {
            remaining.push_back(entry);
            remaining.back().range_.to_ = range.from_ - 1;
        }
        if (range.to_ < entry.range_.to_) {
            remaining.push_back(entry);
            remaining.back().range_.from_ = range.to_ + 1;
        }
    }
    entries_ = std::move(remaining);
}

void GrantLedger::onProcessEnded()
{
    std::erase_if(entries_, [](const Entry &entry) { return entry.state_ != State::InFlight; });
}

void GrantLedger::assumeGranted(const KeyRange &range, TimePoint until)
{
    entries_.push_back(Entry { range, State::Uncertain, 0, {}, until });
}

void GrantLedger::merge(const GrantLedger &other)
{
    entries_.insert(entries_.end(), other.entries_.begin(), other.entries_.end());
}

bool GrantLedger::mayHold(const KeyRange &range, TimePoint now) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const Entry &entry) {
        const bool hasEnded = entry.state_ != State::InFlight && entry.expiresAt_ <= now;
        return !hasEnded && overlaps(entry.range_, range);
    });
}

void GrantLedger::removeExpired(TimePoint now)
{
    std::erase_if(entries_, [&](const Entry &entry) {
        return entry.state_ != State::InFlight && entry.expiresAt_ <= now;
    });
}

} // namespace pimentostage
