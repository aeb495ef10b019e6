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
    entries_.push_back(Entry { range, State::OnItsWay, number, hold, {} });
}

void GrantLedger::onOutcome(OrderNumber number, RangeOutcome outcome, TimePoint now)
{
    dropLapsed(now);
    const auto entry = std::find_if(entries_.begin(), entries_.end(), [&](const Entry &candidate) {
        return candidate.state_ == State::OnItsWay && candidate.number_ == number;
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
    entry->until_ = now + entry->hold_;
    // Of two holds of the same range only the longer one counts.
    const Entry newest = *entry;
    std::erase_if(entries_, [&](const Entry &other) {
        return other.state_ == newest.state_ && other.range_ == newest.range_
               && other.until_ < newest.until_;
    });
}

void GrantLedger::onReleased(const KeyRange &range)
{
    std::vector<Entry> rest;
    for (const Entry &entry : entries_) {
        if (entry.state_ != State::Held || !overlaps(entry.range_, range)) {
            rest.push_back(entry);
            continue;
        }
        if (entry.range_.from_ < range.from_) {
            rest.push_back(entry);
            rest.back().range_.to_ = range.from_ - 1;
        }
        if (range.to_ < entry.range_.to_) {
            rest.push_back(entry);
            rest.back().range_.from_ = range.to_ + 1;
        }
    }
    entries_ = std::move(rest);
}

void GrantLedger::assume(const KeyRange &range, TimePoint until)
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
        const bool isOver = entry.state_ != State::OnItsWay && entry.until_ <= now;
        return !isOver && overlaps(entry.range_, range);
    });
}

void GrantLedger::dropLapsed(TimePoint now)
{
    std::erase_if(entries_, [&](const Entry &entry) {
        return entry.state_ != State::OnItsWay && entry.until_ <= now;
    });
}

} // namespace pimentostage
