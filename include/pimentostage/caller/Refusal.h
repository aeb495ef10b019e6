#pragma once

#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <optional>
#include <string>

namespace pimentostage {

/// Why a caller's request was refused.
enum class RefusalReason {
    MalformedRequest,
    UnknownService,
    UnknownRoute,
    MethodNotAllowed,
    MissingTeamKey,
    InvalidTeamKey,
    NoContract,
    KindNotInContract,
    MissingKey,
    TooManyConnections,
    OverRate,
    AllowanceUnavailable,
    Overloaded,
    DeadlinePassed,
    NoBackend,
    BackendFailed,
    AnswerBroken,
    ConfigurationStale,
    Stopping,
    CallerLeft,
};

template <>
struct EnumTable<RefusalReason>
{
    static constexpr std::array kRows {
        EnumName<RefusalReason> { RefusalReason::MalformedRequest, "malformed-request" },
        EnumName<RefusalReason> { RefusalReason::UnknownService, "unknown-service" },
        EnumName<RefusalReason> { RefusalReason::UnknownRoute, "unknown-route" },
        EnumName<RefusalReason> { RefusalReason::MethodNotAllowed, "method-not-allowed" },
        EnumName<RefusalReason> { RefusalReason::MissingTeamKey, "missing-team-key" },
        EnumName<RefusalReason> { RefusalReason::InvalidTeamKey, "invalid-team-key" },
        EnumName<RefusalReason> { RefusalReason::NoContract, "no-contract" },
        EnumName<RefusalReason> { RefusalReason::KindNotInContract, "kind-not-in-contract" },
        EnumName<RefusalReason> { RefusalReason::MissingKey, "missing-key" },
        EnumName<RefusalReason> { RefusalReason::TooManyConnections, "too-many-connections" },
        EnumName<RefusalReason> { RefusalReason::OverRate, "over-rate" },
        EnumName<RefusalReason> { RefusalReason::AllowanceUnavailable, "allowance-unavailable" },
        EnumName<RefusalReason> { RefusalReason::Overloaded, "overloaded" },
        EnumName<RefusalReason> { RefusalReason::DeadlinePassed, "deadline-passed" },
        EnumName<RefusalReason> { RefusalReason::NoBackend, "no-backend" },
        EnumName<RefusalReason> { RefusalReason::BackendFailed, "backend-failed" },
        EnumName<RefusalReason> { RefusalReason::AnswerBroken, "answer-broken" },
        EnumName<RefusalReason> { RefusalReason::ConfigurationStale, "configuration-stale" },
        EnumName<RefusalReason> { RefusalReason::Stopping, "stopping" },
        EnumName<RefusalReason> { RefusalReason::CallerLeft, "caller-left" },
    };
};

/// @return the HTTP status code for @p reason.
int httpStatusOf(RefusalReason reason);

/// @return a sentence that describes @p reason to the caller.
std::string_view titleOf(RefusalReason reason);

/// What a caller receives instead of a back end's answer.
struct Refusal
{
    RefusalReason reason_;
    Outcome outcome_ = Outcome::NotRun;
    std::optional<Duration> retryAfter_; ///< delay after which the caller may retry
    std::string detail_;
};

/// @return the refusal for a request whose execution was given up.
Refusal refusalFor(const GiveUp &giveUp);

} // namespace pimentostage
