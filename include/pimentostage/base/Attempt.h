#pragma once

#include "pimentostage/base/EnumNames.h"

namespace pimentostage {

/// Progress of one attempt to run a request at a back end, as far as this host knows it.
enum class AttemptState { NotSent, PartlySent, Sent, Answered, DeclaredNotRun };

template <>
struct EnumTable<AttemptState>
{
    static constexpr std::array kRows {
        EnumName<AttemptState> { AttemptState::NotSent, "not-sent" },
        EnumName<AttemptState> { AttemptState::PartlySent, "partly-sent" },
        EnumName<AttemptState> { AttemptState::Sent, "sent" },
        EnumName<AttemptState> { AttemptState::Answered, "answered" },
        EnumName<AttemptState> { AttemptState::DeclaredNotRun, "declared-not-run" },
    };
};

/// Whether a refused request may have run.
enum class Outcome { NotRun, Unknown };

template <>
struct EnumTable<Outcome>
{
    static constexpr std::array kRows {
        EnumName<Outcome> { Outcome::NotRun, "not-run" },
        EnumName<Outcome> { Outcome::Unknown, "unknown" },
    };
};

/// @return NotRun only if no byte was sent or the back end declared that the request did not run.
constexpr Outcome outcomeOf(AttemptState state)
{
    const bool didNotRun = state == AttemptState::NotSent || state == AttemptState::DeclaredNotRun;
    return didNotRun ? Outcome::NotRun : Outcome::Unknown;
}

/// @return Unknown if @p first or @p second is Unknown, otherwise NotRun.
constexpr Outcome combined(Outcome first, Outcome second)
{
    return first == Outcome::Unknown ? first : second;
}

/// Why an attempt ended without a usable answer.
enum class AttemptFailure {
    Gone, ///< no connection: refused, or not established in time
    Broken,
    TimedOut,
    Mismatched,
    Shed, ///< the back end declared that it did not run the request because of its load
    StaleEpoch,
    /// The connection was reset or closed before any byte of an answer, by a back end that has
    /// answered lately: it has no room. Does not tell whether the request ran.
    Full,
    Undeclared, ///< an answer that promises "not run", which the back end did not declare
    Unproven, ///< a success without the back end's proof that it made the answer
};

template <>
struct EnumTable<AttemptFailure>
{
    static constexpr std::array kRows {
        EnumName<AttemptFailure> { AttemptFailure::Gone, "gone" },
        EnumName<AttemptFailure> { AttemptFailure::Broken, "broken" },
        EnumName<AttemptFailure> { AttemptFailure::TimedOut, "timed-out" },
        EnumName<AttemptFailure> { AttemptFailure::Mismatched, "mismatched" },
        EnumName<AttemptFailure> { AttemptFailure::Shed, "shed" },
        EnumName<AttemptFailure> { AttemptFailure::StaleEpoch, "stale-epoch" },
        EnumName<AttemptFailure> { AttemptFailure::Full, "full" },
        EnumName<AttemptFailure> { AttemptFailure::Undeclared, "undeclared" },
        EnumName<AttemptFailure> { AttemptFailure::Unproven, "unproven" },
    };
};

} // namespace pimentostage
