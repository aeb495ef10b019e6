#pragma once

#include "pimentostage/backend/AdmissionRefusal.h"
#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <variant>
#include <vector>

namespace pimentostage {

class AttemptBudget;

/// Number of an attempt within one request, starting at 0.
using AttemptNumber = std::uint32_t;

/// Limits and properties of one request that govern its attempts.
struct ExecutionPolicy
{
    bool idempotent_ = false;
    bool waitsForOwner_ = false; ///< only its key's owner may run it; owners may change
    TimePoint deadline_;
    std::optional<Duration> hedgeAfter_; ///< not hedged if empty
    std::uint32_t maxAttempts_ = 3;
    /// Maximum number of rejections that are followed by a resend; a back end rejects a request by
    /// declaring that it did not run it. Each resend adds an arrival to the load of some back end.
    std::uint32_t maxRejections_ = std::numeric_limits<std::uint32_t>::max();
    std::optional<Duration> maxOwnerWait_; ///< until the deadline if empty
};

/// Why a request was given up.
enum class GiveUpReason {
    DeadlinePassed,
    NoBackend,
    AttemptsFailed,
    AnswerBroken,
    Overloaded,
    CallerLeft,
    HostStopping,
};

template <>
struct EnumTable<GiveUpReason>
{
    static constexpr std::array kRows {
        EnumName<GiveUpReason> { GiveUpReason::DeadlinePassed, "deadline-passed" },
        EnumName<GiveUpReason> { GiveUpReason::NoBackend, "no-backend" },
        EnumName<GiveUpReason> { GiveUpReason::AttemptsFailed, "attempts-failed" },
        EnumName<GiveUpReason> { GiveUpReason::AnswerBroken, "answer-broken" },
        EnumName<GiveUpReason> { GiveUpReason::Overloaded, "overloaded" },
        EnumName<GiveUpReason> { GiveUpReason::CallerLeft, "caller-left" },
        EnumName<GiveUpReason> { GiveUpReason::HostStopping, "host-stopping" },
    };
};

/// Send attempt `attempt_`, if possible to a back end that no earlier attempt used.
struct SendAttempt
{
    AttemptNumber attempt_ = 0;
    bool isHedge_ = false;
};

/// Cancel attempt `attempt_`; its answer is no longer needed.
struct CancelAttempt
{
    AttemptNumber attempt_ = 0;
};

/// Call onWake() at `at_`.
struct WakeAt
{
    TimePoint at_;
};

/// Queue the request until a back end has capacity; report with onAdmitted() or
/// onAdmissionRefused().
struct AwaitAdmission
{ };

/// Deliver the answer to attempt `attempt_` to the caller. The request is finished.
struct DeliverAnswer
{
    AttemptNumber attempt_ = 0;
};

/// Refuse the request. The request is finished.
struct GiveUp
{
    GiveUpReason reason_ = GiveUpReason::NoBackend;
    Outcome outcome_ = Outcome::NotRun;
    std::optional<AdmissionRefusal> admission_ {}; ///< what the queue knew, if Overloaded
};

using ExecutionAction
    = std::variant<SendAttempt, CancelAttempt, WakeAt, AwaitAdmission, DeliverAnswer, GiveUp>;
using ExecutionActions = std::vector<ExecutionAction>;

/// Decides on attempts, retries and hedges of one request.
///
/// Performs no I/O: its user performs the returned actions in order and reports their results.
class RequestExecution
{
public:
    /// @param retries,hedges budgets shared by all requests of a service; must outlive this object.
    RequestExecution(const ExecutionPolicy &policy, AttemptBudget &retries, AttemptBudget &hedges);

    ExecutionActions start(TimePoint now);

    /// Reports that there is no back end for @p attempt.
    ExecutionActions onNoBackend(AttemptNumber attempt, TimePoint now);

    /// Reports that there are back ends for @p attempt, but none has capacity.
    ExecutionActions onBusy(AttemptNumber attempt, TimePoint now);
    /// Reports that the queue admitted the request: a back end may have capacity.
    ExecutionActions onAdmitted(TimePoint now);
    /// Reports that the queue rejected the request, or that its wait timed out.
    ExecutionActions onAdmissionRefused(TimePoint now);

    /// Reports that @p attempt ended without a usable answer.
    /// @param state what is known about the attempt's progress.
    ExecutionActions onFailed(AttemptNumber attempt, AttemptState state, AttemptFailure failure,
                              TimePoint now);

    /// Reports that a complete and valid answer to @p attempt arrived.
    ExecutionActions onAnswered(AttemptNumber attempt, TimePoint now);

    /// Reports that the time of a WakeAt was reached.
    ExecutionActions onWake(TimePoint now);

    /// Reports that the caller disconnected. An idempotent request is cancelled. Any other
    /// continues while an attempt runs, so that its outcome is known.
    ExecutionActions onCallerLeft(TimePoint now);

    /// Reports that this host is about to end. The request is given up, with a true outcome.
    ExecutionActions onHostStopping();

    [[nodiscard]] bool isFinished() const { return finished_; }
    [[nodiscard]] std::size_t attemptCount() const { return attempts_.size(); }

private:
    struct AttemptRecord
    {
        bool running_ = true;
        bool isHedge_ = false;
        AttemptState state_ = AttemptState::NotSent;
    };

    ExecutionActions send(bool isHedge, TimePoint now);
    ExecutionActions awaitAdmission(TimePoint now);
    ExecutionActions retryOrGiveUp(AttemptState state, AttemptFailure failure, TimePoint now);
    ExecutionActions giveUp(GiveUpReason reason);
    ExecutionActions cancelAndGiveUp(GiveUpReason reason);
    [[nodiscard]] bool mayRetry(AttemptState state) const;
    [[nodiscard]] bool areRejectionsLimited() const;
    bool mayRetryAfterRejection();
    [[nodiscard]] bool mayAwaitOwner(TimePoint now);
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] Outcome outcome() const;

    const ExecutionPolicy policy_;
    AttemptBudget &retries_;
    AttemptBudget &hedges_;
    std::vector<AttemptRecord> attempts_;
    std::uint32_t rejections_ = 0;
    std::optional<TimePoint> noBackendSince_; ///< start of the first wait for an owner or back end
    std::optional<TimePoint> hedgeAt_;
    std::optional<TimePoint> retryAt_;
    bool isWaiting_ = false; ///< for admission
    bool finished_ = false;
};

} // namespace pimentostage
