#pragma once

namespace pimentostage {

/// Version of the programs and of the library.
inline constexpr const char *kVersion = "0.1.0";

} // namespace pimentostage
