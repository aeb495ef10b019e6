#include "pimentostage/caller/Refusal.h"

#include <array>

namespace pimentostage {

namespace {

struct RefusalRow
{
    int status_;
    std::string_view title_;
    RefusalBasis basis_;
};

// One row per RefusalReason, in the order of the enumerators.
constexpr std::array<RefusalRow, kEnumCount<RefusalReason>> kRows { {
    { 400, "The request is malformed.", RefusalBasis::Request },
    { 404, "There is no such service.", RefusalBasis::Configuration },
    { 404, "The service has no such route.", RefusalBasis::Configuration },
    { 405, "The route does not take this method.", RefusalBasis::Configuration },
    { 401, "The route needs a team key.", RefusalBasis::Configuration },
    { 401, "The team key is unknown or was withdrawn.", RefusalBasis::Configuration },
    { 403, "The team has no contract.", RefusalBasis::Configuration },
    { 403, "The team's contract does not cover this kind of request.",
      RefusalBasis::Configuration },
    { 400, "The path holds no key.", RefusalBasis::Configuration },
    { 429, "Too many connections are open.", RefusalBasis::Host },
    { 429, "The team is over its contract's rate.", RefusalBasis::Allowance },
    { 503, "The holder of the team's allowance did not answer.", RefusalBasis::Allowance },
    { 503, "The service is overloaded.", RefusalBasis::Host },
    { 504, "The request's deadline has passed.", RefusalBasis::Request },
    { 503, "No back end can take the request.", RefusalBasis::Routing },
    { 502, "The back end failed.", RefusalBasis::Backend },
    { 502, "The back end's answer was not usable.", RefusalBasis::Backend },
    { 503, "This host's configuration may be out of date.", RefusalBasis::Configuration },
    { 503, "This host is stopping.", RefusalBasis::Host },
    { 503, "The caller left before the answer.", RefusalBasis::Request },
} };

const RefusalRow &rowOf(RefusalReason reason)
{
    return kRows.at(static_cast<std::size_t>(reason));
}

// Where the queue does not tell when there will be room.
constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);
// A host that missed a change learns of it from a sibling's next probe and one pull.
constexpr Duration kConfigurationRetryAfter = std::chrono::milliseconds(500);

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kTooManyRequests = 429;

// One entry per GiveUpReason, in the order of the enumerators.
constexpr std::array<RefusalReason, kEnumCount<GiveUpReason>> kReasonOfGiveUp {
    RefusalReason::DeadlinePassed, RefusalReason::NoBackend,  RefusalReason::BackendFailed,
    RefusalReason::AnswerBroken,   RefusalReason::Overloaded, RefusalReason::CallerLeft,
    RefusalReason::Stopping,
};

} // namespace

int httpStatusOf(RefusalReason reason)
{
    return rowOf(reason).status_;
}

RefusalBasis basisOf(RefusalReason reason)
{
    return rowOf(reason).basis_;
}

bool isFinal(RefusalReason reason)
{
    const int status = httpStatusOf(reason);
    return status >= kFirstClientError && status < kFirstServerError && status != kTooManyRequests;
}

Refusal configurationStale()
{
    return Refusal {
        RefusalReason::ConfigurationStale, Outcome::NotRun, kConfigurationRetryAfter, {}
    };
}

Refusal withKnowledge(Refusal refusal, ConfigKnowledge knowledge)
{
    const bool isDecidable = knowledge == ConfigKnowledge::Current || !isFinal(refusal.reason_)
                             || basisOf(refusal.reason_) != RefusalBasis::Configuration;
    if (isDecidable)
        return refusal;
    Refusal undecided = configurationStale();
    undecided.replaced_ = refusal.reason_;
    return undecided;
}

std::string_view titleOf(RefusalReason reason)
{
    return rowOf(reason).title_;
}

Refusal refusalFor(const GiveUp &giveUp)
{
    Refusal refusal;
    refusal.reason_ = kReasonOfGiveUp.at(static_cast<std::size_t>(giveUp.reason_));
    refusal.outcome_ = giveUp.outcome_;
    const bool isTransient = refusal.reason_ == RefusalReason::NoBackend
                             || refusal.reason_ == RefusalReason::Overloaded;
    if (isTransient)
        refusal.retryAfter_ = kOverloadRetryAfter;
    refusal.admission_ = giveUp.admission_;
    if (giveUp.admission_ && giveUp.admission_->retryAfter_)
        refusal.retryAfter_ = giveUp.admission_->retryAfter_;
    return refusal;
}

} // namespace pimentostage
