#pragma once

#include "pimentostage/base/Ids.h"

#include <algorithm>

namespace pimentostage {

/// Generation of the store's content; rises by one each time the store is restored from a copy.
using Generation = SequenceNumber<struct GenerationTag>;

/// A restored store gives revisions out again, so a Version holds the generation in its high bits
/// and the store's revision in its low bits. Versions of a store that is never restored are equal
/// to its revisions.
inline constexpr unsigned kRevisionBits = 40;

/// @return the version of what the store wrote in @p generation with @p revision.
[[nodiscard]] constexpr Version makeVersion(Generation generation, std::uint64_t revision)
{
    return Version { (generation.value_ << kRevisionBits) | revision };
}

/// @return the generation of the store in which @p version was written.
[[nodiscard]] constexpr Generation generationOf(Version version)
{
    return Generation { version.value_ >> kRevisionBits };
}

/// @return the store's own number of @p version.
[[nodiscard]] constexpr std::uint64_t revisionOf(Version version)
{
    return version.value_ & ((std::uint64_t { 1 } << kRevisionBits) - 1);
}

/// Epochs hold the generation in which they were given out in their high bits.
inline constexpr unsigned kEpochBits = 40;

/// A restored store lacks the latest epochs, so the next one given out after @p last is above all
/// that may have been given out in generations before @p generation.
[[nodiscard]] inline Epoch nextEpoch(Epoch last, Generation generation)
{
    return std::max(last.next(), Epoch { generation.value_ << kEpochBits });
}

} // namespace pimentostage
