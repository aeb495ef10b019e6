#pragma once

#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/EnumNames.h"

#include <optional>

namespace pimentostage {

/// What a back end's answer tells the caller by its status.
enum class AnswerMeaning {
    Success,
    NotRun, ///< a promise that the request has not run and will not run
    Misdirected, ///< not run: meant for another process, or another owner of the key
    Other, ///< a redirection or failure, after which the request may have run
};

template <>
struct EnumTable<AnswerMeaning>
{
    static constexpr std::array kRows {
        EnumName<AnswerMeaning> { AnswerMeaning::Success, "success" },
        EnumName<AnswerMeaning> { AnswerMeaning::NotRun, "not-run" },
        EnumName<AnswerMeaning> { AnswerMeaning::Misdirected, "misdirected" },
        EnumName<AnswerMeaning> { AnswerMeaning::Other, "other" },
    };
};

/// What a back end's whole answer tells of its request, in terms of no protocol.
struct AnswerStatement
{
    AnswerMeaning meaning_ = AnswerMeaning::Other;
    bool declaresNotRun_ = false; ///< beside the status, as only the back end itself does
    bool isProven_ = true; ///< bears the back end's proof that it made the answer
};

/// What an attempt amounts to after an answer.
struct AnswerVerdict
{
    AttemptState state_ = AttemptState::Answered;
    std::optional<AttemptFailure> failure_; ///< empty if the answer may reach the caller
};

/// Decides what an answer counts as, before anything of it reaches a caller.
/// @param statement what the answer tells.
/// @return the state of the attempt and its failure, if any.
AnswerVerdict verdictOn(const AnswerStatement &statement);

} // namespace pimentostage
