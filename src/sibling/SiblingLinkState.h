#pragma once

#include "pimentostage/base/AnswerMemory.h"
#include "pimentostage/base/ByteBudget.h"
#include "src/sibling/FrameCodec.h"
#include "src/sibling/SiblingLinks.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// Maximum payload of a connection's first frame, in bytes.
inline constexpr std::uint32_t kMaxHelloBytes = 64 * 1024;
/// Of all connections together: 64 Hellos of the largest size.
inline constexpr std::size_t kMaxUnfinishedHelloBytes = std::size_t { 64 } * kMaxHelloBytes;

/// Limits of the frames of all connections.
struct FrameMemory
{
    explicit FrameMemory(const std::shared_ptr<MemoryBudget> &memory, std::size_t maxUnfinished,
                         std::size_t maxQueued)
        : unfinished_(
            std::make_shared<ByteBudget>(maxUnfinished, memory, MemoryAccount::SiblingFrames))
        , queued_(maxQueued, memory, MemoryAccount::SiblingFrames)
    {
        if (!memory)
            return;
        // The payload, its values and the message exist at the same time.
        constexpr std::size_t kCopies = 3;
        constexpr std::size_t kValueBytes = 64;
        const std::size_t limit = memory->limit(MemoryAccount::SiblingFrames);
        limits_.maxBytes_
            = static_cast<std::uint32_t>(std::min<std::size_t>(kMaxFrameBytes, limit / kCopies));
        limits_.maxValues_ = limit / kValueBytes;
    }

    /// Of frames that are being received from senders that have identified themselves.
    const std::shared_ptr<ByteBudget> unfinished_;
    AnswerMemory queued_; ///< of frames that wait to be sent, by connection
    FrameLimits limits_;
};

/// State shared by all connections.
struct SiblingLinks::SharedState
{
    boost::asio::io_context &context_;
    const MemberUpdate self_;
    const AddressResolver resolve_;
    const ReceiveHandler receive_;
    LogSink &log_;
    Counter &sentFrames_;
    Counter &sentBytes_;
    Counter &receivedFrames_;
    Counter &receivedBytes_;
    Counter &droppedFrames_;
    Counter &badFrames_;
    bool isClosed_ = false;
    std::set<std::shared_ptr<Incoming>> incoming_;
    std::vector<std::shared_ptr<Incoming>> waiting_; ///< for bytes of a budget
    const std::shared_ptr<FrameMemory> memory_;
    const std::size_t maxIncoming_;
    std::map<AnswerMemory::AnswerId, Outgoing *> queues_; ///< of open connections, by their ids
    AnswerMemory::AnswerId lastId_ = 0;
    /// Of the first frames of all other connections, so that these cannot delay known senders.
    const std::shared_ptr<ByteBudget> helloBudget_
        = std::make_shared<ByteBudget>(kMaxUnfinishedHelloBytes);
};

} // namespace pimentostage
