#pragma once

#include "pimentostage/backend/RequestExecution.h"
#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/caller/ConfigValidity.h"

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

/// The knowledge that a refusal rests on.
enum class RefusalBasis {
    Request, ///< the request alone
    Configuration, ///< routes, services, contracts and keys
    Routing, ///< the back ends and who owns a key
    Allowance, ///< what is left of a team's contract
    Backend, ///< the answer of a back end, or its absence
    Host, ///< this host's own load and state
};

template <>
struct EnumTable<RefusalBasis>
{
    static constexpr std::array kRows {
        EnumName<RefusalBasis> { RefusalBasis::Request, "request" },
        EnumName<RefusalBasis> { RefusalBasis::Configuration, "configuration" },
        EnumName<RefusalBasis> { RefusalBasis::Routing, "routing" },
        EnumName<RefusalBasis> { RefusalBasis::Allowance, "allowance" },
        EnumName<RefusalBasis> { RefusalBasis::Backend, "backend" },
        EnumName<RefusalBasis> { RefusalBasis::Host, "host" },
    };
};

/// @return the knowledge that a refusal for @p reason rests on.
RefusalBasis basisOf(RefusalReason reason);

/// @return whether a refusal for @p reason tells the caller not to retry.
bool isFinal(RefusalReason reason);

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
    std::optional<AdmissionRefusal> admission_ {}; ///< what the queue knew, if it was overloaded
    std::optional<RefusalReason> replaced_ {}; ///< reason that an older configuration gives
};

/// @return a refusal of a host whose configuration does not suffice to decide; the request has not
///         run and may be repeated.
Refusal configurationStale();

/// Decides whether @p refusal may be given.
/// @param knowledge what the host knows of the configuration in force.
/// @return @p refusal, or if it is final and rests on a configuration that is not current,
///         configurationStale().
Refusal withKnowledge(Refusal refusal, ConfigKnowledge knowledge);

/// @return the refusal for a request whose execution was given up.
Refusal refusalFor(const GiveUp &giveUp);

} // namespace pimentostage
