#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace pimentostage {

/// @return the value in MessagePack form in @p bytes, or nothing if @p bytes are malformed or
///         nested more deeply than kMaxJsonDepth.
std::optional<nlohmann::json> parseMessagePack(const std::vector<std::uint8_t> &bytes);

} // namespace pimentostage
