#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace pimentostage {

/// Maximum nesting of JSON from other processes. nlohmann::json copies, compares and writes values
/// by recursion, so that deep nesting would exhaust the stack.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// @return the value of @p text, or nothing if @p text is malformed or nested too deeply.
std::optional<nlohmann::json> parseJson(std::string_view text);

/// The texts of an object's members by name. Names with escape sequences are not decoded.
using JsonMembers = std::map<std::string_view, std::string_view>;

/// Splits an object without parsing its members, so that a malformed member leaves the others
/// readable.
/// @return the members, which refer to @p text, or nothing if @p text is not an object.
std::optional<JsonMembers> splitJsonObject(std::string_view text);

/// Splits an array without parsing its elements, so that a malformed element leaves the others
/// readable.
/// @return the elements, which refer to @p text, or nothing if @p text is not an array.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Parses one member.
/// @return the value, or nothing if there is no such member or parseJson() rejects it.
std::optional<nlohmann::json> parseJsonMember(const JsonMembers &members, std::string_view name);

} // namespace pimentostage
