#pragma once

#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/Time.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <variant>
#include <vector>

namespace pimentostage {

class ShareBudget;

/// Number of an attempt within one request, counted from 0.
using AttemptNumber = std::uint32_t;

/// What a request allows.
struct ExecutionPolicy
{
    bool idempotent_ = false;
    bool waitsForOwner_ = false; ///< only one back end may run it, which may change
    TimePoint deadline_;
    std::optional<Duration> hedgeAfter_; ///< no hedging if empty
    std::uint32_t mostAttempts_ = 3;
    /// Times that back ends may declare the request not run before it is given up; each is one more
    /// arrival that some back end has to bear.
    std::uint32_t mostRejections_ = std::numeric_limits<std::uint32_t>::max();
    std::optional<Duration> mostOwnerWait_; ///< for an owner; until the deadline if empty
};

/// Why a request was given up.
enum class GiveUpReason {
    DeadlinePassed,
    NoBackend,
    AttemptsFailed,
    AnswerBroken,
    Overloaded,
    CallerLeft,
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
    };
};

/// Send attempt `attempt_` to a back end that no earlier attempt used, if there is one.
struct SendAttempt
{
    AttemptNumber attempt_ = 0;
    bool isHedge_ = false;
};

/// Stop attempt `attempt_`; its answer is no longer wanted.
struct CancelAttempt
{
    AttemptNumber attempt_ = 0;
};

/// Call onWake() at `at_`.
struct WakeAt
{
    TimePoint at_;
};

/// Let the request wait in turn for room at a back end; report with onRoom() or onNoRoom().
struct AwaitRoom
{ };

/// Hand the answer of attempt `attempt_` to the caller. The request is finished.
struct DeliverAnswer
{
    AttemptNumber attempt_ = 0;
};

/// Refuse the request. The request is finished.
struct GiveUp
{
    GiveUpReason reason_ = GiveUpReason::NoBackend;
    Outcome outcome_ = Outcome::NotRun;
};

using ExecutionAction
    = std::variant<SendAttempt, CancelAttempt, WakeAt, AwaitRoom, DeliverAnswer, GiveUp>;
using ExecutionActions = std::vector<ExecutionAction>;

/// Decides on attempts, retries and hedges of one request.
///
/// Holds no connection and no bytes; the caller performs the actions in order and reports what
/// became of them.
class RequestExecution
{
public:
    /// @param retries,hedges budgets shared by all requests of a service; they outlive this.
    RequestExecution(const ExecutionPolicy &policy, ShareBudget &retries, ShareBudget &hedges);

    ExecutionActions start(TimePoint now);

    /// Reports that no back end could take attempt @p attempt.
    ExecutionActions onNoBackend(AttemptNumber attempt, TimePoint now);

    /// Reports that back ends for @p attempt exist and have no room.
    ExecutionActions onBusy(AttemptNumber attempt, TimePoint now);
    /// Reports that the request's turn has come: there may be room.
    ExecutionActions onRoom(TimePoint now);
    /// Reports that the request may not wait, or may not wait any longer.
    ExecutionActions onNoRoom(TimePoint now);

    /// Reports that @p attempt ended without a usable answer.
    /// @param state what is known of the attempt.
    ExecutionActions onFailed(AttemptNumber attempt, AttemptState state, AttemptFailure failure,
                              TimePoint now);

    /// Reports that a whole, checked answer to @p attempt arrived.
    ExecutionActions onAnswered(AttemptNumber attempt, TimePoint now);

    /// Reports that the time asked for by WakeAt has come.
    ExecutionActions onWake(TimePoint now);

    /// Reports that the caller has left. What may be repeated is cancelled; a request that may not
    /// goes on once it was sent, so that its outcome is known.
    ExecutionActions onCallerLeft(TimePoint now);

    [[nodiscard]] bool isFinished() const { return finished_; }
    [[nodiscard]] std::size_t attemptCount() const { return attempts_.size(); }

private:
    struct Tracked
    {
        bool running_ = true;
        bool isHedge_ = false;
        AttemptState state_ = AttemptState::NotSent;
    };

    ExecutionActions send(bool isHedge, TimePoint now);
    ExecutionActions awaitRoom(TimePoint now);
    ExecutionActions retryOrGiveUp(AttemptState state, AttemptFailure failure, TimePoint now);
    ExecutionActions giveUp(GiveUpReason reason);
    [[nodiscard]] bool mayRetry(AttemptState state) const;
    [[nodiscard]] bool areRejectionsCounted() const;
    bool mayGoOnAfterRejection();
    [[nodiscard]] bool mayAwaitOwner(TimePoint now);
    [[nodiscard]] bool isRunning() const;
    [[nodiscard]] Outcome outcome() const;

    const ExecutionPolicy policy_;
    ShareBudget &retries_;
    ShareBudget &hedges_;
    std::vector<Tracked> attempts_;
    std::uint32_t rejections_ = 0;
    std::optional<TimePoint> ownerlessSince_; ///< since when no back end could take it
    std::optional<TimePoint> hedgeAt_;
    std::optional<TimePoint> retryAt_;
    bool isWaiting_ = false; ///< for room
    bool finished_ = false;
};

} // namespace pimentostage
