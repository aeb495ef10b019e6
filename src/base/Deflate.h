#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace pimentostage {

/// @return the @p size bytes at @p data in the raw deflate format (RFC 1951), compressed fast.
std::vector<std::uint8_t> deflate(const std::uint8_t *data, std::size_t size);

/// @param data compressed bytes, @p size in number.
/// @param inflatedSize number of bytes that they must yield.
/// @return the bytes before the compression; nothing if the data is malformed or has another size.
std::optional<std::vector<std::uint8_t>> inflate(const std::uint8_t *data, std::size_t size,
                                                 std::size_t inflatedSize);

} // namespace pimentostage
