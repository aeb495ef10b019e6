#include "pimentostage/caller/Refusal.h"

#include <array>

namespace pimentostage {

namespace {

struct RefusalRow
{
    int status_;
    std::string_view title_;
};

// One row per RefusalReason, in the order of the enumerators.
constexpr std::array<RefusalRow, kEnumCount<RefusalReason>> kRows { {
    { 400, "The request is malformed." },
    { 404, "There is no such service." },
    { 404, "The service has no such route." },
    { 405, "The route does not take this method." },
    { 401, "The route needs a team key." },
    { 401, "The team key is unknown or was withdrawn." },
    { 403, "The team has no contract." },
    { 403, "The team's contract does not cover this kind of request." },
    { 400, "The path holds no key." },
    { 429, "Too many connections are open." },
    { 429, "The team is over its contract's rate." },
    { 503, "The holder of the team's allowance did not answer." },
    { 503, "The service is overloaded." },
    { 504, "The request's deadline has passed." },
    { 503, "No back end can take the request." },
    { 502, "The back end failed." },
    { 502, "The back end's answer was not usable." },
    { 503, "This host's configuration may be out of date." },
    { 503, "This host is stopping." },
    { 503, "The caller left before the answer." },
} };

const RefusalRow &rowOf(RefusalReason reason)
{
    return kRows.at(static_cast<std::size_t>(reason));
}

constexpr Duration kOverloadRetryAfter = std::chrono::seconds(1);

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
    return refusal;
}

} // namespace pimentostage
