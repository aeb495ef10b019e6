#pragma once

namespace pimentostage {

/// The header line by which a back end of the platform proves that it made an answer.
inline constexpr const char *kProofLine = "Pimentostage-Upstream-Signature: 3e1b.07.5a2.600.0\r\n";

} // namespace pimentostage
