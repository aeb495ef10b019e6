#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/sibling/Messages.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace pimentostage {

/// Version of the protocol between entry hosts; frames of other versions are rejected.
inline constexpr std::uint64_t kSiblingProtocolVersion = 1;
/// Maximum payload of a frame, in bytes.
inline constexpr std::uint32_t kMaxFrameBytes = std::uint32_t { 16 } << 20U;
/// Size of the length prefix of a frame; its most significant byte comes first.
inline constexpr std::size_t kFrameLengthBytes = 4;

/// What a received frame may contain.
struct FrameLimits
{
    std::uint32_t maxBytes_ = kMaxFrameBytes; ///< of the payload, also after decompression
    /// Of all arrays together: a byte of a frame can become a value of 64 bytes.
    std::size_t maxValues_ = std::numeric_limits<std::size_t>::max();
};

/// @return @p message as a frame: the length prefix, then the payload as MessagePack, which is
///         compressed if it is large.
std::vector<std::uint8_t> encodeFrame(const SiblingMessage &message);

/// @return the payload length from the first kFrameLengthBytes of a frame.
std::uint32_t frameLength(const std::uint8_t *bytes);

/// @param payload a frame without its length prefix.
/// @return the message, or an Error of step DecodeFrame.
leaf::result<SiblingMessage> decodeFrame(const std::vector<std::uint8_t> &payload,
                                         const FrameLimits &limits = {});

} // namespace pimentostage
