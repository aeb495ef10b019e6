#include "pimentostage/sibling/Succession.h"

#include "pimentostage/sibling/RoleTiming.h"
#include "pimentostage/sibling/TermRules.h"

#include <algorithm>

namespace pimentostage {

namespace {

std::optional<Epoch> epochOf(const std::optional<RoleRecord> &record)
{
    return record ? std::optional(record->epoch_) : std::nullopt;
}

} // namespace

Succession::Succession(const std::optional<RoleRecord> &replaced, bool mayHaveUndoneTerms,
                       TimePoint writtenAt, std::optional<TimePoint> challengedSince)
    : replacedEpoch_(epochOf(replaced))
    , mayHaveUndoneTerms_(mayHaveUndoneTerms)
    , writtenAt_(writtenAt)
    , unconfirmedSince_(challengedSince.value_or(writtenAt))
    , terms_(openTerms(replaced))
{ }

std::vector<RoleTerm> Succession::openTerms(const std::optional<RoleRecord> &replaced)
{
    if (!replaced)
        return {};
    std::vector<RoleTerm> terms = replaced->predecessors_;
    if (replaced->released_)
        return terms;
    // A later term of the same holder with the same members replaces the earlier one.
    std::erase_if(terms, [&](const RoleTerm &term) {
        return term.holder_ == replaced->holder_ && term.members_ == replaced->members_
               && term.rule_ == replaced->rule_;
    });
    terms.push_back(
        RoleTerm { replaced->epoch_, replaced->holder_, replaced->members_, replaced->rule_ });
    return terms;
}

void Succession::onReleased(const Member &member, Duration remaining, TimePoint now)
{
    const TimePoint endsAt = now + kClockDrift.stretched(remaining);
    const auto [entry, isNew] = promisesEndAt_.emplace(member, endsAt);
    if (!isNew)
        entry->second = std::min(entry->second, endsAt);
}

void Succession::onMemberStopped(const Member &member, TimePoint now)
{
    onReleased(member, kPromiseDuration, now);
}

void Succession::onStepDown(const Member &holder, Epoch epoch)
{
    std::erase_if(terms_, [&](const RoleTerm &term) {
        return term.holder_ == holder && term.epoch_ <= epoch;
    });
}

void Succession::onHolderStopped(const Member &holder)
{
    std::erase_if(terms_, [&](const RoleTerm &term) { return term.holder_ == holder; });
}

bool Succession::mayAct(TimePoint now) const
{
    if (mayHaveUndoneTerms_ && now < writtenAt_ + kClockDrift.stretched(kUndoneTermDuration))
        return false;
    if (terms_.empty())
        return true;
    if (now < writtenAt_ + kClockDrift.stretched(kStoreAuthorityDuration))
        return false;
    return std::all_of(terms_.begin(), terms_.end(),
                       [&](const RoleTerm &term) { return hasEnded(term, now); });
}

bool Succession::hasEnded(const RoleTerm &term, TimePoint now) const
{
    if (term.members_.empty())
        return true;
    const auto stillBound
        = std::count_if(term.members_.begin(), term.members_.end(), [&](const Member &member) {
              const auto end = promisesEndAt_.find(member);
              return end == promisesEndAt_.end() || now < end->second;
          });
    const bool isOnPromises = now < unconfirmedSince_ + kClockDrift.stretched(kMaxTimeOnPromises);
    const std::size_t quorum = isOnPromises ? quorumOnPromises(term.rule_, term.members_.size())
                                            : quorumAfterwards(term.rule_, term.members_.size());
    return static_cast<std::size_t>(stillBound) < quorum;
}

std::vector<Member> Succession::unreleasedMembers() const
{
    std::vector<Member> members;
    for (const RoleTerm &term : terms_) {
        for (const Member &member : term.members_) {
            if (!promisesEndAt_.contains(member))
                members.push_back(member);
        }
    }
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    return members;
}

} // namespace pimentostage
