#include "src/base/BeastServer.h"

#include <atomic>
#include <deque>
#include <set>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr std::size_t kReadSize
    = std::size_t { 16 } * 1024; // bytes; no caller holds a thread for longer
constexpr std::size_t kMostPipelined = 64; // requests of one connection that wait for answers
constexpr Duration kSweepPeriod = std::chrono::seconds(1); // between looks at the time limits
// How long a caller may take to read the last answer of a connection.
constexpr Duration kLingerTime = std::chrono::seconds(2);

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 408;

int statusFor(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return kHeaderTooLarge;
    if (error == http::error::body_limit)
        return kPayloadTooLarge;
    return kBadRequest;
}

bool hasNoBody(int status)
{
    constexpr int kNoContent = 204;
    constexpr int kNotModified = 304;
    return status == kNoContent || status == kNotModified;
}

std::string encode(const ServerAnswer &answer, bool isHead, bool closes)
{
    std::string out = "HTTP/1.1 " + std::to_string(answer.status_) + ' ';
    out += http::obsolete_reason(static_cast<http::status>(answer.status_));
    out += "\r\n";
    if (!answer.contentType_.empty())
        out += "Content-Type: " + answer.contentType_ + "\r\n";
    for (const HttpHeader &header : answer.headers_)
        out.append(header.name_).append(": ").append(header.value_).append("\r\n");
    if (!hasNoBody(answer.status_))
        out += "Content-Length: " + std::to_string(answer.body_.size()) + "\r\n";
    out += closes ? "Connection: close\r\n\r\n" : "Connection: Keep-Alive\r\n\r\n";
    if (!isHead && !hasNoBody(answer.status_))
        out += answer.body_;
    return out;
}

} // namespace

/// The connections that one thread serves.
class BeastServer::Worker : public std::enable_shared_from_this<Worker>
{
public:
    Worker(EventLoop &loop, const HttpServerOptions &options, Handler handler, HalfClose halfClose,
           std::shared_ptr<std::atomic<std::size_t>> buffered)
        : options_(options)
        , handler_(std::move(handler))
        , halfClose_(halfClose)
        , buffered_(std::move(buffered))
        , context_(loop.context())
        , acceptor_(context_)
        , sweep_(context_)
    { }

    void listen(const tcp::endpoint &endpoint)
    {
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen(kListenBacklog);
    }

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    /// Accepts connections and deals them out to @p workers in turn.
    void accept(std::vector<std::shared_ptr<Worker>> workers)
    {
        others_ = std::move(workers);
        acceptNext();
    }

    void add(tcp::socket socket);
    void drain() { draining_ = true; }
    void closeIdle();
    void close();

    const HttpServerOptions options_;
    const Handler handler_;
    const HalfClose halfClose_;
    const std::shared_ptr<std::atomic<std::size_t>> buffered_; ///< bytes of bodies, of all workers
    asio::io_context &context_;
    std::set<std::shared_ptr<Session>> sessions_;
    bool draining_ = false;

private:
    void acceptNext()
    {
        const std::shared_ptr<Worker> worker = others_[next_++ % others_.size()];
        acceptor_.async_accept(worker->context_, [self = shared_from_this(), worker](
                                                     const error_code &error, tcp::socket socket) {
            if (!self->acceptor_.is_open())
                return;
            if (!error) {
                // A socket belongs to its worker's thread from here on.
                auto shared = std::make_shared<tcp::socket>(std::move(socket));
                asio::dispatch(worker->context_,
                               [worker, shared] { worker->add(std::move(*shared)); });
                self->acceptNext();
                return;
            }
            // Out of descriptors, as a rule: a pause instead of a busy loop.
            self->retry_ = std::make_unique<asio::steady_timer>(self->context_, kAcceptPause);
            self->retry_->async_wait([self](const error_code &cancelled) {
                if (!cancelled)
                    self->acceptNext();
            });
        });
    }

    void sweepLater();

    static constexpr Duration kAcceptPause = std::chrono::milliseconds(50);

    tcp::acceptor acceptor_;
    asio::steady_timer sweep_;
    bool isSweeping_ = false;
    std::unique_ptr<asio::steady_timer> retry_;
    std::vector<std::shared_ptr<Worker>> others_;
    std::size_t next_ = 0;
};

/// One caller's connection.
class BeastServer::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(std::shared_ptr<Worker> worker, tcp::socket socket)
        : worker_(std::move(worker))
        , socket_(std::move(socket))
        , connection_(std::make_shared<HttpConnection>())
        , activeAt_(BootClock::now())
    { }

    ~Session() { releaseBuffered(); }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    void start()
    {
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        read();
    }

    /// Takes the answer to request number @p number.
    void onAnswer(std::uint64_t number, ServerAnswer answer)
    {
        if (isClosed_ || number < firstNumber_)
            return;
        Slot &slot = slots_.at(number - firstNumber_);
        slot.answer_ = std::move(answer);
        slot.abandoned_ = nullptr;
        writeNext();
    }

    void setAbandoned(std::uint64_t number, std::function<void()> task)
    {
        if (!isClosed_ && number >= firstNumber_)
            slots_.at(number - firstNumber_).abandoned_ = std::move(task);
    }

    /// Ends the connection if no request is being read or answered on it.
    void closeIfIdle()
    {
        const bool isIdle = slots_.empty() && !parser_ && !isWriting_ && !isLingering_;
        if (isIdle)
            finish();
    }

    void checkTime(TimePoint now)
    {
        const HttpServerOptions &options = worker_->options_;
        if (isLingering_) {
            if (now - activeAt_ >= kLingerTime)
                close();
        } else if (parser_) {
            const bool hasHeader = parser_->is_header_done();
            const Duration most = hasHeader ? options.bodyTimeout_ : options.headerTimeout_;
            if (now - parseStartedAt_ >= most)
                refuse(kTimeout);
        } else if (slots_.empty() && !isWriting_ && now - activeAt_ >= options.keepAliveTimeout_) {
            finish();
        }
    }

    void close()
    {
        if (isClosed_)
            return;
        isClosed_ = true;
        error_code ignored;
        socket_.close(ignored);
        abandonAll();
        releaseBuffered();
        worker_->sessions_.erase(shared_from_this());
    }

private:
    /// A request and, once it is there, its answer.
    struct Slot
    {
        bool isHead_ = false;
        bool mayBeRepeated_ = false;
        std::optional<ServerAnswer> answer_;
        std::function<void()> abandoned_;
    };

    void read()
    {
        if (isReading_ || isClosed_ || hasEnded_)
            return;
        const bool isFull = slots_.size() >= kMostPipelined;
        if (isFull && !isLingering_)
            return;
        isReading_ = true;
        socket_.async_read_some(
            buffer_.prepare(kReadSize),
            [self = shared_from_this()](const error_code &error, std::size_t size) {
                self->isReading_ = false;
                self->onRead(error, size);
            });
    }

    void onRead(const error_code &error, std::size_t size)
    {
        if (isClosed_)
            return;
        if (error) {
            onEnd(error);
            return;
        }
        if (isLingering_) {
            buffer_.consume(buffer_.size());
            read();
            return;
        }
        activeAt_ = BootClock::now();
        buffer_.commit(size);
        parse();
        read();
    }

    void onEnd(const error_code &error)
    {
        const bool isHalfClosed = error == asio::error::eof && !slots_.empty();
        if (!isHalfClosed || isLingering_) {
            close();
            return;
        }
        hasEnded_ = true;
        isLast_ = isLast_ || slots_.empty();
        if (worker_->halfClose_ == HalfClose::Answer)
            return;
        bool isAnyLeft = isWriting_;
        for (Slot &slot : slots_) {
            const bool isAbandoned = !slot.answer_ && slot.mayBeRepeated_;
            if (isAbandoned)
                abandon(slot);
            isAnyLeft = isAnyLeft || !isAbandoned;
        }
        if (!isAnyLeft)
            close();
    }

    static void abandon(Slot &slot)
    {
        if (const std::function<void()> task = std::move(slot.abandoned_))
            task();
        slot.abandoned_ = nullptr;
    }

    void abandonAll()
    {
        for (Slot &slot : slots_) {
            if (!slot.answer_)
                abandon(slot);
        }
    }

    void parse()
    {
        while (buffer_.size() > 0 && slots_.size() < kMostPipelined && !isLast_ && !isClosed_) {
            if (!parser_)
                newParser();
            error_code error;
            const std::size_t used = parser_->put(buffer_.data(), error);
            buffer_.consume(used);
            if (error && error != http::error::need_more) {
                refuse(statusFor(error));
                return;
            }
            if (parser_->is_header_done() && !isHeaderSeen_ && !onHeader())
                return;
            if (parser_->is_header_done() && !accountBody())
                return;
            if (parser_->is_done()) {
                dispatch();
                continue;
            }
            if (error == http::error::need_more || used == 0)
                return;
        }
    }

    void newParser()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(static_cast<std::uint32_t>(worker_->options_.mostHeaderBytes_));
        parser_->body_limit(worker_->options_.mostRequestBytes_);
        parseStartedAt_ = BootClock::now();
        isHeaderSeen_ = false;
    }

    /// @return whether the request may go on.
    bool onHeader()
    {
        isHeaderSeen_ = true;
        const bool isHttp11 = parser_->get().version() == 11;
        const bool lacksHost = isHttp11 && parser_->get().count(http::field::host) != 1;
        if (lacksHost) {
            refuse(kBadRequest);
            return false;
        }
        const auto length = parser_->content_length();
        if (length && !reserve(*length))
            return false;
        const bool wantsContinue
            = !parser_->is_done()
              && beast::iequals(parser_->get()[http::field::expect], "100-continue");
        if (wantsContinue && slots_.empty() && !isWriting_) {
            writing_ = "HTTP/1.1 100 Continue\r\n\r\n";
            write();
        }
        return true;
    }

    // A body without a length is counted as it grows.
    bool accountBody()
    {
        const std::size_t held = parser_->get().body().size();
        return held <= reserved_ || reserve(held);
    }

    /// Counts a body of @p bytes against what all connections together may hold.
    bool reserve(std::size_t bytes)
    {
        const std::size_t more = bytes - std::min(bytes, reserved_);
        const std::size_t before = worker_->buffered_->fetch_add(more, std::memory_order_relaxed);
        reserved_ += more;
        if (before + more <= worker_->options_.mostBufferedBytes_)
            return true;
        refuse(kUnavailable);
        return false;
    }

    void releaseBuffered()
    {
        worker_->buffered_->fetch_sub(std::exchange(reserved_, 0), std::memory_order_relaxed);
    }

    void dispatch();

    /// Answers the request that is being read with @p status and ends the connection.
    void refuse(int status)
    {
        parser_.reset();
        releaseBuffered();
        Slot slot;
        ServerAnswer answer { status, "", {}, "" };
        if (status == kUnavailable)
            answer.headers_.push_back({ "Retry-After", "1" });
        answer.closes_ = true;
        slot.answer_ = std::move(answer);
        slots_.push_back(std::move(slot));
        isLast_ = true;
        buffer_.consume(buffer_.size());
        writeNext();
    }

    void writeNext()
    {
        if (isWriting_ || isClosed_ || slots_.empty() || !slots_.front().answer_)
            return;
        const Slot slot = std::move(slots_.front());
        slots_.pop_front();
        ++firstNumber_;
        isLast_ = isLast_ || worker_->draining_;
        const bool isFinal = slots_.empty() && (isLast_ || hasEnded_);
        closesAfterWrite_ = slot.answer_->closes_ || isFinal;
        writing_ = encode(*slot.answer_, slot.isHead_, closesAfterWrite_);
        write();
    }

    void write()
    {
        isWriting_ = true;
        asio::async_write(socket_, asio::buffer(writing_),
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void onWritten(const error_code &error)
    {
        isWriting_ = false;
        if (isClosed_)
            return;
        if (error) {
            close();
            return;
        }
        activeAt_ = BootClock::now();
        if (closesAfterWrite_) {
            finish();
            return;
        }
        writeNext();
        parse();
        read();
    }

    // Closing at once would reset the connection if the caller has sent more, and the caller would
    // lose the answer. Requests behind the last answer were never handled.
    void finish()
    {
        abandonAll();
        slots_.clear();
        if (hasEnded_) {
            close();
            return;
        }
        isLingering_ = true;
        activeAt_ = BootClock::now();
        buffer_.consume(buffer_.size());
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
        read();
    }

    const std::shared_ptr<Worker> worker_;
    tcp::socket socket_;
    const std::shared_ptr<HttpConnection> connection_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    std::deque<Slot> slots_; ///< requests that are not answered yet, in their order
    std::uint64_t firstNumber_ = 0; ///< of slots_.front()
    std::string writing_;
    std::size_t reserved_ = 0; ///< bytes counted in Worker::buffered_
    TimePoint activeAt_;
    TimePoint parseStartedAt_ {};
    bool isHeaderSeen_ = false;
    bool isReading_ = false;
    bool isWriting_ = false;
    bool closesAfterWrite_ = false;
    bool isLast_ = false; ///< no further request is taken
    bool hasEnded_ = false; ///< the caller sends no more
    bool isLingering_ = false;
    bool isClosed_ = false;
};

class BeastServer::Responder : public HttpResponder
{
public:
    Responder(const std::shared_ptr<Session> &session, asio::io_context &context,
              std::uint64_t number)
        : session_(session)
        , context_(context)
        , number_(number)
    { }

    ~Responder() override
    {
        if (!sent_.load())
            send(ServerAnswer { kInternalError, "", {}, "" });
    }

    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;

    void send(ServerAnswer answer) override
    {
        const std::shared_ptr<Session> session = session_.lock();
        if (sent_.exchange(true) || !session)
            return;
        asio::dispatch(context_, [session, number = number_, answer = std::move(answer)]() mutable {
            session->onAnswer(number, std::move(answer));
        });
    }

    void onAbandoned(std::function<void()> task) override
    {
        if (const std::shared_ptr<Session> session = session_.lock())
            session->setAbandoned(number_, std::move(task));
    }

private:
    const std::weak_ptr<Session> session_;
    asio::io_context &context_;
    const std::uint64_t number_;
    std::atomic<bool> sent_ { false };
};

void BeastServer::Session::dispatch()
{
    Slot slot;
    auto message = parser_->release();
    isLast_ = !message.keep_alive();
    slot.isHead_ = message.method() == http::verb::head;
    slot.mayBeRepeated_ = slot.isHead_ || message.method() == http::verb::get;
    parser_.reset();
    releaseBuffered();
    ServerRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto &field : message)
        request.headers_.push_back(
            { std::string(field.name_string()), std::string(field.value()) });
    request.body_ = std::move(message.body());
    request.connection_ = connection_;
    const std::uint64_t number = firstNumber_ + slots_.size();
    slots_.push_back(std::move(slot));
    worker_->handler_(std::move(request),
                      std::make_shared<Responder>(shared_from_this(), worker_->context_, number));
}

void BeastServer::Worker::add(tcp::socket socket)
{
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket));
    sessions_.insert(session);
    session->start();
    sweepLater();
}

void BeastServer::Worker::sweepLater()
{
    if (isSweeping_ || sessions_.empty())
        return;
    isSweeping_ = true;
    sweep_.expires_after(kSweepPeriod);
    sweep_.async_wait([self = shared_from_this()](const error_code &error) {
        self->isSweeping_ = false;
        if (error)
            return;
        const TimePoint now = BootClock::now();
        const std::vector<std::shared_ptr<Session>> sessions(self->sessions_.begin(),
                                                             self->sessions_.end());
        for (const auto &session : sessions)
            session->checkTime(now);
        self->sweepLater();
    });
}

void BeastServer::Worker::closeIdle()
{
    const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
    for (const auto &session : sessions)
        session->closeIfIdle();
}

void BeastServer::Worker::close()
{
    error_code ignored;
    acceptor_.close(ignored);
    sweep_.cancel();
    others_.clear();
    const std::vector<std::shared_ptr<Session>> sessions(sessions_.begin(), sessions_.end());
    for (const auto &session : sessions)
        session->close();
}

BeastServer::BeastServer() = default;

BeastServer::BeastServer(EventLoop &loop)
    : sharedLoop_(&loop)
{ }

BeastServer::~BeastServer()
{
    BeastServer::stop();
}

leaf::result<void> BeastServer::start(const HttpServerOptions &options, HandlerFactory factory)
{
    auto buffered = std::make_shared<std::atomic<std::size_t>>(0);
    try {
        const int threads = sharedLoop_ ? 1 : options.threads_;
        for (int i = 0; i < threads; ++i) {
            if (!sharedLoop_)
                ownLoops_.push_back(std::make_unique<EventLoop>(options.threadName_));
            EventLoop &loop = sharedLoop_ ? *sharedLoop_ : *ownLoops_.back();
            workers_.push_back(
                std::make_shared<Worker>(loop, options, factory(), halfClose_, buffered));
        }
        workers_.front()->listen(
            { asio::ip::make_address(options.address_.ip_), options.address_.port_ });
        port_ = workers_.front()->port();
        asio::post(workers_.front()->context_,
                   [first = workers_.front(), all = workers_] { first->accept(all); });
    } catch (const std::exception &failure) {
        workers_.clear();
        ownLoops_.clear();
        return fail(Error { Step::Listen, Peer { PeerKind::Caller, options.address_.str() },
                            ErrorCode::Unavailable, failure.what() });
    }
    return {};
}

std::uint16_t BeastServer::port() const
{
    return port_;
}

void BeastServer::drain()
{
    for (const std::shared_ptr<Worker> &worker : workers_)
        asio::post(worker->context_, [worker] { worker->drain(); });
}

void BeastServer::closeIdle()
{
    for (const std::shared_ptr<Worker> &worker : workers_)
        asio::post(worker->context_, [worker] { worker->closeIdle(); });
}

void BeastServer::stop()
{
    for (const std::shared_ptr<Worker> &worker : workers_) {
        if (sharedLoop_)
            asio::post(worker->context_, [worker] { worker->close(); });
    }
    for (std::size_t i = 0; i < ownLoops_.size(); ++i)
        ownLoops_[i]->run([worker = workers_[i]] { worker->close(); });
    workers_.clear();
    ownLoops_.clear();
    port_ = 0;
}

} // namespace pimentostage
