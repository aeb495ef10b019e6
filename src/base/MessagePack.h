#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace pimentostage {

/// @return the value in MessagePack form in @p bytes, or nothing if @p bytes are malformed or
///         nested more deeply than kMaxJsonDepth.
std::optional<nlohmann::json> parseMessagePack(const std::vector<std::uint8_t> &bytes,
                                               std::size_t maxValues
                                               = std::numeric_limits<std::size_t>::max());

} // namespace pimentostage
