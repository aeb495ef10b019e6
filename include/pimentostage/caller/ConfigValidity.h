#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Time.h"

#include <atomic>
#include <optional>

namespace pimentostage {

/// What a host knows of the configuration in force.
enum class ConfigKnowledge {
    Missing, ///< the host has none yet
    Outdated, ///< a change that the host does not have may be in force everywhere
    Current,
};

template <>
struct EnumTable<ConfigKnowledge>
{
    static constexpr std::array kRows {
        EnumName<ConfigKnowledge> { ConfigKnowledge::Missing, "missing" },
        EnumName<ConfigKnowledge> { ConfigKnowledge::Outdated, "outdated" },
        EnumName<ConfigKnowledge> { ConfigKnowledge::Current, "current" },
    };
};

/// Times until which a host may decide by its configuration.
///
/// The control thread extends the times. Traffic threads check them in the call that decides on a
/// request, so that a process that was frozen does not decide by an outdated configuration.
class ConfigValidity
{
public:
    ConfigValidity() = default;
    /// @param changeDeadline time within which a change is in force on all hosts; zero for none.
    explicit ConfigValidity(Duration changeDeadline)
        : changeDeadline_(changeDeadline)
    { }

    /// @param until end of the time in which requests that require a team key may be accepted.
    void setValidUntil(TimePoint until) { validUntil_ = until.time_since_epoch(); }
    [[nodiscard]] bool isValid(TimePoint now) const
    {
        return now.time_since_epoch() < validUntil_.load();
    }

    /// @param at time at which the store had no newer configuration than this host has now.
    void setConfirmedAt(TimePoint at) { confirmedAt_ = at.time_since_epoch(); }
    /// @return time since the confirmation, or nothing if there was none.
    [[nodiscard]] std::optional<Duration> age(TimePoint now) const
    {
        const Duration confirmedAt = confirmedAt_;
        if (confirmedAt == kNever)
            return std::nullopt;
        return now.time_since_epoch() - confirmedAt;
    }
    /// @return whether any change that the host does not have was made so recently that the
    ///         configuration before it may still be in force.
    [[nodiscard]] bool isCurrent(TimePoint now) const
    {
        if (changeDeadline_ == Duration::zero())
            return isValid(now);
        const auto configAge = age(now);
        return configAge && *configAge < changeDeadline_;
    }

private:
    static constexpr Duration kNever = Duration::min();

    const Duration changeDeadline_ {};
    std::atomic<Duration> validUntil_ { Duration::max() };
    std::atomic<Duration> confirmedAt_ { kNever };
};

} // namespace pimentostage
