#include "pimentostage/backend/AnswerVerdict.h"

#include <array>

namespace pimentostage {

namespace {

constexpr AnswerVerdict kDeliverable { AttemptState::Answered, std::nullopt };
constexpr AnswerVerdict kRejected { AttemptState::DeclaredNotRun, AttemptFailure::Shed };
constexpr AnswerVerdict kMisdirected { AttemptState::DeclaredNotRun, AttemptFailure::StaleEpoch };
// Whoever made the answer, the back end may still be at work on the request.
constexpr AnswerVerdict kUnproven { AttemptState::Sent, AttemptFailure::Unproven };

// The back end's work has ended, but its status would promise the caller that none was done.
constexpr AnswerVerdict kUndeclared { AttemptState::Answered, AttemptFailure::Undeclared };

struct VerdictRow
{
    AnswerVerdict declaredNotRun_; ///< with or without a proof
    AnswerVerdict unproven_;
    AnswerVerdict proven_;
};

// One row per AnswerMeaning, in the order of the enumerators. A success that declares that the
// request has not run contradicts itself, and proves neither.
constexpr std::array<VerdictRow, kEnumCount<AnswerMeaning>> kRows { {
    { kUnproven, kUnproven, kDeliverable },
    { kRejected, kUndeclared, kUndeclared },
    { kMisdirected, kMisdirected, kMisdirected },
    { kRejected, kDeliverable, kDeliverable },
} };

} // namespace

AnswerVerdict verdictOn(const AnswerStatement &statement)
{
    const VerdictRow &row = kRows.at(static_cast<std::size_t>(statement.meaning_));
    if (statement.declaresNotRun_)
        return row.declaredNotRun_;
    return statement.isProven_ ? row.proven_ : row.unproven_;
}

} // namespace pimentostage
