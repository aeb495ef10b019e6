#include "src/platform/CallerLimitsCodec.h"

#include <array>

namespace pimentostage {

namespace {

using Json = nlohmann::json;

// Far above any limit in use, and small enough for sums of sizes.
constexpr double kMaxLimitBytes = 1e12;

struct ByteLimitRow
{
    const char *name_;
    std::optional<std::uint64_t> CallerLimits::*member_;
    double min_; ///< in bytes
};

struct TimeLimitRow
{
    const char *name_;
    std::optional<Duration> CallerLimits::*member_;
};

// Without headers there is no request, but a deployment may allow no bodies.
constexpr std::array kByteLimits {
    ByteLimitRow { "header_bytes", &CallerLimits::headerBytes_, 1 },
    ByteLimitRow { "body_bytes", &CallerLimits::bodyBytes_, 0 },
};

constexpr std::array kTimeLimits {
    TimeLimitRow { "header_timeout_ms", &CallerLimits::headerTimeout_ },
    TimeLimitRow { "idle_timeout_ms", &CallerLimits::idleTimeout_ },
};

} // namespace

CallerLimits readCallerLimits(ObjectReader reader)
{
    CallerLimits limits;
    for (const ByteLimitRow &row : kByteLimits) {
        if (const auto bytes = reader.optionalNumber(row.name_, row.min_, kMaxLimitBytes))
            limits.*row.member_ = static_cast<std::uint64_t>(*bytes);
    }
    for (const TimeLimitRow &row : kTimeLimits) {
        if (const auto time = reader.optionalNumber(row.name_, kMinTimeoutMs, kMaxTimeoutMs))
            limits.*row.member_ = fromSeconds(*time / kMillisecondsPerSecond);
    }
    reader.rejectUnknownFields();
    return limits;
}

Json toJson(const CallerLimits &limits)
{
    Json json = Json::object();
    for (const ByteLimitRow &row : kByteLimits) {
        if (const auto &bytes = limits.*row.member_)
            json[row.name_] = *bytes;
    }
    for (const TimeLimitRow &row : kTimeLimits) {
        if (const auto &time = limits.*row.member_)
            json[row.name_] = milliseconds(*time);
    }
    return json;
}

} // namespace pimentostage
