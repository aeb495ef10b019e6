#include "src/sibling/SiblingLinks.h"

#include "src/sibling/FrameCodec.h"

#include <array>
#include <deque>
#include <set>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using SystemError = boost::system::error_code;

Tcp::endpoint endpointOf(const Address &address)
{
    return { asio::ip::make_address_v4(address.ip_), address.port_ };
}

std::string describe(const Tcp::socket &socket)
{
    SystemError error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? "unknown" : endpoint.address().to_string();
}

} // namespace

/// What all connections need.
struct SiblingLinks::Shared
{
    asio::io_context &context_;
    const MemberUpdate self_;
    const Resolve resolve_;
    const Receive receive_;
    LogSink &log_;
    Counter &sentFrames_;
    Counter &sentBytes_;
    Counter &receivedFrames_;
    Counter &receivedBytes_;
    Counter &droppedFrames_;
    Counter &badFrames_;
    bool isClosed_ = false;
    std::set<std::shared_ptr<Incoming>> incoming_;
};

/// A connection that another host opened; frames are read one after the other.
class SiblingLinks::Incoming : public std::enable_shared_from_this<Incoming>
{
public:
    Incoming(std::shared_ptr<Shared> shared, Tcp::socket socket)
        : shared_(std::move(shared))
        , socket_(std::move(socket))
        , peer_(describe(socket_))
    { }

    void readLength()
    {
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(length_),
                         [self](const SystemError &error, std::size_t) {
                             if (error)
                                 self->end();
                             else
                                 self->readPayload();
                         });
    }

    void close()
    {
        SystemError ignored;
        socket_.close(ignored);
    }

private:
    void readPayload()
    {
        const std::uint32_t length = frameLength(length_.data());
        if (length == 0 || length > kMostFrameBytes) {
            refuse("frame of " + std::to_string(length) + " bytes");
            return;
        }
        payload_.resize(length);
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(payload_),
                         [self](const SystemError &error, std::size_t) {
                             if (error)
                                 self->end();
                             else
                                 self->take();
                         });
    }

    void take()
    {
        shared_->receivedFrames_.add();
        shared_->receivedBytes_.add(payload_.size() + kFrameLengthBytes);
        const std::string fault = valueOr(
            [this]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(message, decodeFrame(payload_));
                return dispatch(message);
            },
            [](const Error &error) { return error.describe(); });
        if (!fault.empty()) {
            refuse(fault);
            return;
        }
        if (!shared_->isClosed_)
            readLength();
    }

    /// @return why the message is not allowed here, or "".
    std::string dispatch(const SiblingMessage &message)
    {
        if (const auto *hello = std::get_if<Hello>(&message)) {
            sender_ = hello->self_;
            return "";
        }
        if (!sender_)
            return "first frame is not a hello";
        shared_->receive_(*sender_, message);
        return "";
    }

    void refuse(const std::string &why)
    {
        shared_->badFrames_.add();
        const Error error { Step::DecodeFrame, Peer { PeerKind::Sibling, peer_ },
                            ErrorCode::Malformed, why };
        shared_->log_.write(
            LogLine(Severity::Warning, "sibling-frame-refused").add("error", error.describe()));
        end();
    }

    void end()
    {
        close();
        shared_->incoming_.erase(shared_from_this());
    }

    std::shared_ptr<Shared> shared_;
    Tcp::socket socket_;
    const std::string peer_;
    std::optional<MemberUpdate> sender_;
    std::array<std::uint8_t, kFrameLengthBytes> length_ {};
    std::vector<std::uint8_t> payload_;
};

/// A connection that this host opens, again and again, to one other host.
class SiblingLinks::Outgoing : public std::enable_shared_from_this<Outgoing>
{
public:
    Outgoing(std::shared_ptr<Shared> shared, HostName host)
        : shared_(std::move(shared))
        , host_(std::move(host))
        , socket_(shared_->context_)
    { }

    void send(const SiblingMessage &message)
    {
        const TimePoint now = BootClock::now();
        const bool isProbe = std::holds_alternative<Probe>(message);
        // The first packet to a host without power is lost, and sent again only after seconds.
        const bool isLost
            = state_ == State::Connecting && now >= connectingSince_ + kMostConnectTime;
        if (isLost || (isProbe && isSilent(now)))
            reset();
        if (isProbe && unansweredSince_ == TimePoint {})
            unansweredSince_ = now;
        if (state_ == State::Closed && !connect())
            return;
        std::vector<std::uint8_t> frame = encodeFrame(message);
        if (queuedBytes_ + frame.size() > kMostQueuedBytes) {
            shared_->droppedFrames_.add();
            return;
        }
        queue(std::move(frame));
    }

    void onAnswer() { unansweredSince_ = TimePoint {}; }

    void reset()
    {
        SystemError ignored;
        socket_.close(ignored);
        socket_ = Tcp::socket(shared_->context_);
        ++connection_;
        frames_.clear();
        queuedBytes_ = 0;
        isWriting_ = false;
        unansweredSince_ = TimePoint {};
        state_ = State::Closed;
    }

private:
    enum class State { Closed, Connecting, Open };

    bool isSilent(TimePoint now) const
    {
        return unansweredSince_ != TimePoint {} && now > unansweredSince_ + kMostSilence;
    }

    bool connect()
    {
        const auto address = shared_->resolve_(host_);
        if (!address)
            return false;
        state_ = State::Connecting;
        connectingSince_ = BootClock::now();
        queue(encodeFrame(Hello { shared_->self_ }));
        auto self = shared_from_this();
        const std::uint64_t connection = connection_;
        socket_.async_connect(endpointOf(*address), [self, connection](const SystemError &error) {
            if (connection != self->connection_)
                return;
            if (error) {
                self->reset();
                return;
            }
            SystemError ignored;
            self->socket_.set_option(Tcp::no_delay(true), ignored);
            self->state_ = State::Open;
            self->writeNext();
        });
        return true;
    }

    void queue(std::vector<std::uint8_t> frame)
    {
        queuedBytes_ += frame.size();
        frames_.push_back(std::move(frame));
        if (state_ == State::Open && !isWriting_)
            writeNext();
    }

    void writeNext()
    {
        if (frames_.empty())
            return;
        isWriting_ = true;
        auto self = shared_from_this();
        const std::uint64_t connection = connection_;
        asio::async_write(socket_, asio::buffer(frames_.front()),
                          [self, connection](const SystemError &error, std::size_t bytes) {
                              if (connection != self->connection_)
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
        frames_.pop_front();
        isWriting_ = false;
        writeNext();
    }

    std::shared_ptr<Shared> shared_;
    const HostName host_;
    Tcp::socket socket_;
    State state_ = State::Closed;
    std::uint64_t connection_ = 0; ///< tells late completions of a closed connection apart
    std::deque<std::vector<std::uint8_t>> frames_;
    std::size_t queuedBytes_ = 0;
    bool isWriting_ = false;
    TimePoint unansweredSince_ {};
    TimePoint connectingSince_ {};
};

/// Takes connections from other hosts.
class SiblingLinks::Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
    Acceptor(std::shared_ptr<Shared> shared, const Address &address)
        : shared_(std::move(shared))
        , acceptor_(shared_->context_, endpointOf(address))
    { }

    void accept()
    {
        auto self = shared_from_this();
        acceptor_.async_accept([self](const SystemError &error, Tcp::socket socket) {
            if (self->shared_->isClosed_)
                return;
            if (!error) {
                auto incoming = std::make_shared<Incoming>(self->shared_, std::move(socket));
                self->shared_->incoming_.insert(incoming);
                incoming->readLength();
            }
            self->accept();
        });
    }

    void close()
    {
        SystemError ignored;
        acceptor_.close(ignored);
    }

private:
    std::shared_ptr<Shared> shared_;
    Tcp::acceptor acceptor_;
};

SiblingLinks::SiblingLinks(asio::io_context &context, const MemberUpdate &self, Resolve resolve,
                           Receive receive, LogSink &log, Counters &counters)
    : shared_(std::make_shared<Shared>(Shared {
        context,
        self,
        std::move(resolve),
        std::move(receive),
        log,
        counters.counter("pimento_sibling_sent_frames_total", "Frames sent to other hosts."),
        counters.counter("pimento_sibling_sent_bytes_total", "Bytes sent to other hosts."),
        counters.counter("pimento_sibling_received_frames_total",
                         "Frames received from other hosts."),
        counters.counter("pimento_sibling_received_bytes_total",
                         "Bytes received from other hosts."),
        counters.counter("pimento_sibling_dropped_frames_total",
                         "Frames not sent because a connection's queue was full."),
        counters.counter("pimento_sibling_bad_frames_total",
                         "Frames refused as unknown, oversized or malformed."),
        false,
        {} }))
{ }

SiblingLinks::~SiblingLinks()
{
    close();
}

leaf::result<void> SiblingLinks::listen(const Address &address)
{
    try {
        acceptor_ = std::make_shared<Acceptor>(shared_, address);
        acceptor_->accept();
    } catch (const boost::system::system_error &failure) {
        return fail(Error { Step::Listen, Peer { PeerKind::Sibling, address.str() },
                            ErrorCode::Unavailable, failure.what() });
    }
    return {};
}

std::shared_ptr<SiblingLinks::Outgoing> SiblingLinks::outgoingTo(const HostName &host)
{
    std::shared_ptr<Outgoing> &outgoing = outgoing_[host];
    if (!outgoing)
        outgoing = std::make_shared<Outgoing>(shared_, host);
    return outgoing;
}

void SiblingLinks::send(const HostName &host, const SiblingMessage &message)
{
    if (!shared_->isClosed_)
        outgoingTo(host)->send(message);
}

void SiblingLinks::onAnswer(const HostName &host)
{
    outgoingTo(host)->onAnswer();
}

void SiblingLinks::close()
{
    if (shared_->isClosed_)
        return;
    shared_->isClosed_ = true;
    if (acceptor_)
        acceptor_->close();
    // Connections and what they share hold each other; emptying the set lets both go.
    const std::set<std::shared_ptr<Incoming>> connections = std::move(shared_->incoming_);
    shared_->incoming_.clear();
    for (const auto &incoming : connections)
        incoming->close();
    for (const auto &[host, outgoing] : outgoing_)
        outgoing->reset();
    outgoing_.clear();
}

} // namespace pimentostage
