#include "src/sibling/SiblingLinks.h"

#include "src/sibling/SiblingOutgoing.h"

#include "pimentostage/base/AnswerMemory.h"
#include "pimentostage/base/ByteBudget.h"
#include "src/sibling/FrameCodec.h"

#include <algorithm>
#include <array>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using SystemError = boost::system::error_code;
using Timer = asio::steady_timer;

constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// Bytes for which memory is reserved before they have arrived.
constexpr std::size_t kMinPartBytes = std::size_t { 16 } << 10U;
// Time for a connection's Hello, and for the payload of a frame, to arrive; more than ten times the
// time in which a silent host is declared dead with deploy/settings.ini, 0.85 s.
constexpr Duration kFrameTimeout = std::chrono::seconds(10);

Tcp::endpoint endpointOf(const Address &address)
{
    return { asio::ip::make_address_v4(address.ip_), address.port_ };
}

std::string remoteAddress(const Tcp::socket &socket)
{
    SystemError error;
    const auto endpoint = socket.remote_endpoint(error);
    return error ? "unknown" : endpoint.address().to_string();
}

} // namespace

/// A connection that another host opened; reads one frame at a time.
class SiblingLinks::Incoming : public std::enable_shared_from_this<Incoming>
{
public:
    Incoming(std::shared_ptr<SharedState> shared, Tcp::socket socket)
        : shared_(std::move(shared))
        , socket_(std::move(socket))
        , peer_(remoteAddress(socket_))
        , timer_(shared_->context_)
    { }

    void start()
    {
        startTimeout();
        readLength();
    }

    void readLength()
    {
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(length_),
                         [self](const SystemError &error, std::size_t) {
                             if (error)
                                 self->closeAndRemove();
                             else
                                 self->readPayload();
                         });
    }

    void close()
    {
        SystemError ignored;
        socket_.close(ignored);
        timer_.cancel();
    }

    void closeAndRemove()
    {
        close();
        shared_->incoming_.erase(shared_from_this());
        releasePayload();
    }

    /// @return by how little this connection is needed: one without a Hello before one of a known
    ///         sender, then the one that was silent longest.
    [[nodiscard]] std::pair<bool, TimePoint> need() const
    {
        return { sender_.has_value(), heardAt_ };
    }

private:
    void startTimeout()
    {
        timer_.expires_after(kFrameTimeout);
        timer_.async_wait([self = shared_from_this()](const SystemError &cancelled) {
            const bool isDue = !cancelled && self->timer_.expiry() <= Timer::clock_type::now();
            if (isDue && self->socket_.is_open())
                self->reject("frame not complete in time");
        });
    }

    // A cancellation alone would come too late for a handler that is already queued.
    void stopTimeout() { timer_.expires_at(Timer::time_point::max()); }

    void readPayload()
    {
        const std::uint32_t length = frameLength(length_.data());
        // Its first frame identifies the sender and is small.
        const std::uint32_t maxLength
            = sender_ ? shared_->memory_->limits_.maxBytes_ : kMaxHelloBytes;
        if (length == 0 || length > maxLength) {
            reject("invalid frame length: " + std::to_string(length) + " bytes");
            return;
        }
        beginPayload();
    }

    // A frame that exceeds the limit waits unread, so none is lost. Each holder of bytes ends
    // within kFrameTimeout.
    void beginPayload()
    {
        const std::uint32_t length = frameLength(length_.data());
        ByteBudget &budget = sender_ ? *shared_->memory_->unfinished_ : *shared_->helloBudget_;
        if (!budget.reserve(payloadBytes_, length)) {
            shared_->waiting_.push_back(shared_from_this());
            return;
        }
        if (sender_)
            startTimeout();
        readPart(length);
    }

    void releasePayload()
    {
        payloadBytes_.release();
        const auto waiting = std::exchange(shared_->waiting_, {});
        for (const std::shared_ptr<Incoming> &incoming : waiting)
            incoming->beginPayload();
    }

    // The memory grows with the bytes that have arrived, at most to twice as many, so that an
    // announced length alone takes none.
    void readPart(std::size_t length)
    {
        const std::size_t received = payload_.size();
        const std::size_t size = std::min(length, received + std::max(received, kMinPartBytes));
        payload_.reserve(size);
        payload_.resize(size);
        auto self = shared_from_this();
        asio::async_read(socket_, asio::buffer(payload_.data() + received, size - received),
                         [self, length](const SystemError &error, std::size_t) {
                             if (error)
                                 self->closeAndRemove();
                             else if (self->payload_.size() < length)
                                 self->readPart(length);
                             else
                                 self->handlePayload();
                         });
    }

    void handlePayload()
    {
        stopTimeout();
        heardAt_ = BootClock::now();
        const std::vector<std::uint8_t> payload = std::exchange(payload_, {});
        releasePayload();
        shared_->receivedFrames_.add();
        shared_->receivedBytes_.add(payload.size() + kFrameLengthBytes);
        const std::string rejection = valueOr(
            [&]() -> leaf::result<std::string> {
                BOOST_LEAF_AUTO(message, decodeFrame(payload, shared_->memory_->limits_));
                return dispatch(message);
            },
            [](const Error &error) { return error.describe(); });
        if (!rejection.empty()) {
            reject(rejection);
            return;
        }
        if (!shared_->isClosed_)
            readLength();
    }

    /// Records the sender from a Hello; passes any other message to the receive handler.
    /// @return why the message is not allowed here, or "".
    std::string dispatch(const SiblingMessage &message)
    {
        if (const auto *hello = std::get_if<Hello>(&message)) {
            sender_ = hello->self_;
            return "";
        }
        if (!sender_)
            return "first frame is not a Hello";
        shared_->receive_(*sender_, message);
        return "";
    }

    void reject(const std::string &detail)
    {
        shared_->badFrames_.add();
        const Error error { Step::DecodeFrame, Peer { PeerKind::Sibling, peer_ },
                            ErrorCode::Malformed, detail };
        shared_->log_.write(
            LogLine(Severity::Warning, "sibling-frame-refused").add("error", error.describe()));
        closeAndRemove();
    }

    std::shared_ptr<SharedState> shared_;
    Tcp::socket socket_;
    const std::string peer_;
    TimePoint heardAt_ = BootClock::now(); ///< at which the last frame was complete
    std::optional<MemberUpdate> sender_;
    std::array<std::uint8_t, kFrameLengthBytes> length_ {};
    std::vector<std::uint8_t> payload_; ///< of the frame that is being received
    ByteBudget::Reservation payloadBytes_;
    Timer timer_;
};

/// Accepts connections from other hosts.
class SiblingLinks::Acceptor : public std::enable_shared_from_this<Acceptor>
{
public:
    Acceptor(std::shared_ptr<SharedState> shared, const Address &address)
        : shared_(std::move(shared))
        , acceptor_(shared_->context_, endpointOf(address))
        , retryTimer_(shared_->context_)
    { }

    void accept()
    {
        auto self = shared_from_this();
        acceptor_.async_accept([self](const SystemError &error, Tcp::socket socket) {
            if (self->shared_->isClosed_)
                return;
            if (error) {
                self->retry();
                return;
            }
            self->makeRoom();
            auto incoming = std::make_shared<Incoming>(self->shared_, std::move(socket));
            self->shared_->incoming_.insert(incoming);
            incoming->start();
            self->accept();
        });
    }

    void close()
    {
        SystemError ignored;
        acceptor_.close(ignored);
        retryTimer_.cancel();
    }

private:
    void makeRoom()
    {
        const auto &incoming = shared_->incoming_;
        if (shared_->maxIncoming_ == 0 || incoming.size() < shared_->maxIncoming_)
            return;
        const std::shared_ptr<Incoming> leastNeeded = *std::min_element(
            incoming.begin(), incoming.end(),
            [](const auto &left, const auto &right) { return left->need() < right->need(); });
        leastNeeded->closeAndRemove();
    }

    // Usually the process has run out of file descriptors. The delay avoids a busy loop.
    void retry()
    {
        retryTimer_.expires_after(kAcceptRetryDelay);
        retryTimer_.async_wait([self = shared_from_this()](const SystemError &cancelled) {
            if (!cancelled && !self->shared_->isClosed_)
                self->accept();
        });
    }

    std::shared_ptr<SharedState> shared_;
    Tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
};

namespace {

std::shared_ptr<FrameMemory> frameMemory(const std::shared_ptr<MemoryBudget> &memory)
{
    if (!memory) {
        return std::make_shared<FrameMemory>(memory, SiblingLinks::kMaxUnfinishedBytes,
                                             std::numeric_limits<std::size_t>::max());
    }
    const std::size_t half = memory->limit(MemoryAccount::SiblingFrames) / 2;
    return std::make_shared<FrameMemory>(
        memory, std::min(ByteBudget::largeBytes(half), SiblingLinks::kMaxUnfinishedBytes), half);
}

} // namespace

SiblingLinks::SiblingLinks(asio::io_context &context, const MemberUpdate &self,
                           AddressResolver resolve, ReceiveHandler receive, LogSink &log,
                           MetricRegistry &metrics, SiblingResources resources)
    : shared_(std::make_shared<SharedState>(SharedState {
        context,
        self,
        std::move(resolve),
        std::move(receive),
        log,
        metrics.counter("pimento_sibling_sent_frames_total", "Frames sent to other hosts."),
        metrics.counter("pimento_sibling_sent_bytes_total", "Bytes sent to other hosts."),
        metrics.counter("pimento_sibling_received_frames_total",
                        "Frames received from other hosts."),
        metrics.counter("pimento_sibling_received_bytes_total", "Bytes received from other hosts."),
        metrics.counter("pimento_sibling_dropped_frames_total",
                        "Frames not sent because a connection's queue was full."),
        metrics.counter("pimento_sibling_bad_frames_total",
                        "Frames refused as unknown, oversized or malformed."),
        false,
        {},
        {},
        frameMemory(resources.memory_),
        resources.maxIncoming_,
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
    // Connections and the shared state own each other; clearing the set breaks the cycle.
    const std::set<std::shared_ptr<Incoming>> connections = std::move(shared_->incoming_);
    shared_->incoming_.clear();
    shared_->waiting_.clear();
    for (const auto &incoming : connections)
        incoming->close();
    for (const auto &[host, outgoing] : outgoing_)
        outgoing->reset();
    outgoing_.clear();
}

} // namespace pimentostage
