#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentostage {

/// @return the 64-bit XXH3 hash of @p data, which is the same on every host.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// @return the SHA-256 digest of @p data in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

} // namespace pimentostage
