#pragma once

#include "pimentostage/platform/Objects.h"

#include <cstddef>

namespace pimentostage {

/// @return the size of a majority of @p members.
constexpr std::size_t majorityOf(std::size_t members)
{
    return members / 2 + 1;
}

/// The holder of a role and its successor both apply these functions to the record: the holder to
/// decide whether it may still act, the successor to decide whether the holder may.
///
/// @return how many of @p members promises keep a term under @p rule open, for kMaxTimeOnPromises
///         after the store last confirmed it.
[[nodiscard]] std::size_t quorumOnPromises(TermRule rule, std::size_t members);

/// @return as quorumOnPromises(), for the time after that; more than @p members if no number of
///         promises suffices.
[[nodiscard]] std::size_t quorumAfterwards(TermRule rule, std::size_t members);

/// @param members the number of members of a record.
/// @param fleetSize the number of hosts known when the record is written, lost ones included.
/// @return the rule for the record.
[[nodiscard]] TermRule ruleFor(std::size_t members, std::size_t fleetSize);

} // namespace pimentostage
