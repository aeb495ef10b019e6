#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/sibling/Messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace pimentostage {

/// Version of the protocol between entry hosts; other versions are refused.
inline constexpr std::uint64_t kSiblingProtocol = 1;
/// Largest frame, without its length, in bytes.
inline constexpr std::uint32_t kMostFrameBytes = std::uint32_t { 16 } << 20U;
/// Bytes of the length that precedes each frame, most significant first.
inline constexpr std::size_t kFrameLengthBytes = 4;

/// @return @p message as a frame: its length, then MessagePack.
std::vector<std::uint8_t> encodeFrame(const SiblingMessage &message);

/// @return the length that the first kFrameLengthBytes of a frame announce.
std::uint32_t frameLength(const std::uint8_t *bytes);

/// @param payload a frame without its length.
/// @return the message, or an Error of step DecodeFrame.
leaf::result<SiblingMessage> decodeFrame(const std::vector<std::uint8_t> &payload);

} // namespace pimentostage
