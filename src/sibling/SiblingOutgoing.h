#pragma once

#include "src/sibling/SiblingLinkState.h"

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace pimentostage {

/// A connection to one other host, opened by this host and reopened after failures.
class SiblingLinks::Outgoing : public std::enable_shared_from_this<Outgoing>
{
    using Tcp = boost::asio::ip::tcp;
    using SystemError = boost::system::error_code;

public:
    Outgoing(std::shared_ptr<SharedState> shared, HostName host)
        : shared_(std::move(shared))
        , host_(std::move(host))
        , id_(++shared_->lastId_)
        , socket_(std::make_shared<Tcp::socket>(shared_->context_))
    {
        shared_->queues_.emplace(id_, this);
    }

    ~Outgoing()
    {
        shared_->queues_.erase(id_);
        shared_->memory_->queued_.remove(id_);
    }

    Outgoing(const Outgoing &) = delete;
    Outgoing &operator=(const Outgoing &) = delete;

    void send(const SiblingMessage &message)
    {
        const TimePoint now = BootClock::now();
        const bool isProbe = std::holds_alternative<Probe>(message);
        // The first packet to a host without power is lost, and TCP retransmits it only after
        // seconds, so a new attempt is started instead.
        const bool hasTimedOut
            = state_ == State::Connecting && now >= connectingSince_ + kConnectTimeout;
        if (hasTimedOut || (isProbe && isSilent(now)))
            reset();
        if (isProbe && unansweredSince_ == TimePoint {})
            unansweredSince_ = now;
        if (state_ == State::Closed && !connect())
            return;
        std::vector<std::uint8_t> frame = encodeFrame(message);
        if (queuedBytes_ + frame.size() > kMaxQueuedBytes) {
            shared_->droppedFrames_.add();
            return;
        }
        queue(std::move(frame));
        limitQueues();
    }

    void onAnswer() { unansweredSince_ = TimePoint {}; }

    void reset()
    {
        SystemError ignored;
        socket_->close(ignored);
        socket_ = std::make_shared<Tcp::socket>(shared_->context_);
        ++generation_;
        frames_.clear();
        queuedBytes_ = 0;
        shared_->memory_->queued_.remove(id_);
        isWriting_ = false;
        unansweredSince_ = TimePoint {};
        state_ = State::Closed;
    }

private:
    enum class State { Closed, Connecting, Open };

    bool isSilent(TimePoint now) const
    {
        return unansweredSince_ != TimePoint {} && now > unansweredSince_ + kSilenceTimeout;
    }

    /// @return the endpoint, or nothing if the text of @p address is not an IPv4 address.
    static std::optional<Tcp::endpoint> parsedEndpointOf(const Address &address)
    {
        SystemError error;
        const auto ip = boost::asio::ip::make_address_v4(address.ip_, error);
        return error ? std::nullopt : std::optional(Tcp::endpoint(ip, address.port_));
    }

    bool connect()
    {
        const auto address = shared_->resolve_(host_);
        const auto endpoint = address ? parsedEndpointOf(*address) : std::nullopt;
        if (!endpoint)
            return false;
        state_ = State::Connecting;
        connectingSince_ = BootClock::now();
        queue(encodeFrame(Hello { shared_->self_ }));
        auto self = shared_from_this();
        const std::uint64_t generation = generation_;
        socket_->async_connect(*endpoint, [self, generation](const SystemError &error) {
            if (generation != self->generation_)
                return;
            if (error) {
                self->reset();
                return;
            }
            SystemError ignored;
            self->socket_->set_option(Tcp::no_delay(true), ignored);
            self->state_ = State::Open;
            self->writeNext();
        });
        return true;
    }

    // A host that does not read is the one with the longest queue.
    void limitQueues()
    {
        while (const auto longest = shared_->memory_->queued_.answerToGiveUp()) {
            shared_->droppedFrames_.add();
            const auto found = shared_->queues_.find(*longest);
            if (found == shared_->queues_.end())
                shared_->memory_->queued_.remove(*longest);
            else
                found->second->reset();
        }
    }

    void queue(std::vector<std::uint8_t> frame)
    {
        queuedBytes_ += frame.size();
        shared_->memory_->queued_.update(id_, queuedBytes_);
        frames_.push_back(std::make_shared<const std::vector<std::uint8_t>>(std::move(frame)));
        if (state_ == State::Open && !isWriting_)
            writeNext();
    }

    void writeNext()
    {
        if (frames_.empty())
            return;
        isWriting_ = true;
        auto self = shared_from_this();
        const std::uint64_t generation = generation_;
        // A frame takes several writes, which may continue after reset(); so the operation shares
        // its socket and its frame.
        boost::asio::async_write(*socket_, boost::asio::buffer(*frames_.front()),
                                 [self, generation, socket = socket_, frame = frames_.front()](
                                     const SystemError &error, std::size_t bytes) {
                                     if (generation != self->generation_)
                                         return;
                                     if (error)
                                         self->reset();
                                     else
                                         self->onWritten(bytes);
                                 });
    }

    void onWritten(std::size_t bytes)
    {
        shared_->sentFrames_.add();
        shared_->sentBytes_.add(bytes);
        queuedBytes_ -= bytes;
        if (queuedBytes_ == 0)
            shared_->memory_->queued_.remove(id_);
        else
            shared_->memory_->queued_.update(id_, queuedBytes_);
        frames_.pop_front();
        isWriting_ = false;
        writeNext();
    }

    std::shared_ptr<SharedState> shared_;
    const HostName host_;
    const AnswerMemory::AnswerId id_;
    std::shared_ptr<Tcp::socket> socket_; ///< replaced by reset()
    State state_ = State::Closed;
    std::uint64_t generation_ = 0; ///< identifies late completions of a closed connection
    std::deque<std::shared_ptr<const std::vector<std::uint8_t>>> frames_;
    std::size_t queuedBytes_ = 0;
    bool isWriting_ = false;
    TimePoint unansweredSince_ {};
    TimePoint connectingSince_ {};
};

} // namespace pimentostage
