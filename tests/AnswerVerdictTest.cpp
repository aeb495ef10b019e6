#include "pimentostage/backend/AnswerVerdict.h"

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

struct VerdictCase
{
    AnswerMeaning meaning_;
    bool declaresNotRun_;
    bool isProven_;
    AttemptState state_;
    std::optional<AttemptFailure> failure_;
};

const VerdictCase kCases[] = {
    { AnswerMeaning::Success, false, true, AttemptState::Answered, {} },
    { AnswerMeaning::Success, false, false, AttemptState::Sent, AttemptFailure::Unproven },
    { AnswerMeaning::Success, true, true, AttemptState::Sent, AttemptFailure::Unproven },
    { AnswerMeaning::Success, true, false, AttemptState::Sent, AttemptFailure::Unproven },
    { AnswerMeaning::NotRun, false, true, AttemptState::Answered, AttemptFailure::Undeclared },
    { AnswerMeaning::NotRun, false, false, AttemptState::Answered, AttemptFailure::Undeclared },
    { AnswerMeaning::NotRun, true, true, AttemptState::DeclaredNotRun, AttemptFailure::Shed },
    { AnswerMeaning::NotRun, true, false, AttemptState::DeclaredNotRun, AttemptFailure::Shed },
    { AnswerMeaning::Misdirected, false, true, AttemptState::DeclaredNotRun,
      AttemptFailure::StaleEpoch },
    { AnswerMeaning::Misdirected, false, false, AttemptState::DeclaredNotRun,
      AttemptFailure::StaleEpoch },
    { AnswerMeaning::Misdirected, true, true, AttemptState::DeclaredNotRun,
      AttemptFailure::StaleEpoch },
    { AnswerMeaning::Misdirected, true, false, AttemptState::DeclaredNotRun,
      AttemptFailure::StaleEpoch },
    { AnswerMeaning::Other, false, true, AttemptState::Answered, {} },
    { AnswerMeaning::Other, false, false, AttemptState::Answered, {} },
    { AnswerMeaning::Other, true, true, AttemptState::DeclaredNotRun, AttemptFailure::Shed },
    { AnswerMeaning::Other, true, false, AttemptState::DeclaredNotRun, AttemptFailure::Shed },
};

} // namespace

// Guards against an answer that counts as more than it proves: as a success, or as not run.
TEST(AnswerVerdict, FollowsFromStatusDeclarationAndProof)
{
    constexpr std::size_t kCombinations = 4 * kEnumCount<AnswerMeaning>;
    EXPECT_EQ(std::size(kCases), kCombinations);
    for (const VerdictCase &row : kCases) {
        const AnswerVerdict verdict
            = verdictOn({ row.meaning_, row.declaresNotRun_, row.isProven_ });
        EXPECT_EQ(verdict.state_, row.state_) << toString(row.meaning_);
        EXPECT_EQ(verdict.failure_, row.failure_) << toString(row.meaning_);
    }
}
