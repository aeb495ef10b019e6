#include "src/base/BeastSession.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/status.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadSize
    = std::size_t { 16 } * 1024; // bytes; no caller holds a thread for longer
constexpr std::size_t kMostPipelined = 64; // requests of one connection that wait for answers
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

void BeastServer::Session::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    read();
}

void BeastServer::Session::onAnswer(std::uint64_t number, ServerAnswer answer)
{
    if (isClosed_ || number < firstNumber_)
        return;
    Slot &slot = slots_.at(number - firstNumber_);
    slot.answer_ = std::move(answer);
    slot.abandoned_ = nullptr;
    writeNext();
}

void BeastServer::Session::setAbandoned(std::uint64_t number, std::function<void()> task)
{
    if (!isClosed_ && number >= firstNumber_)
        slots_.at(number - firstNumber_).abandoned_ = std::move(task);
}

void BeastServer::Session::closeIfIdle()
{
    const bool isIdle = slots_.empty() && !parser_ && !isWriting_ && !isLingering_;
    if (isIdle)
        finish();
}

void BeastServer::Session::checkTime(TimePoint now)
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

void BeastServer::Session::close()
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

void BeastServer::Session::read()
{
    if (isReading_ || isClosed_ || hasEnded_)
        return;
    const bool isFull = slots_.size() >= kMostPipelined;
    if (isFull && !isLingering_)
        return;
    isReading_ = true;
    socket_.async_read_some(buffer_.prepare(kReadSize),
                            [self = shared_from_this()](const error_code &error, std::size_t size) {
                                self->isReading_ = false;
                                self->onRead(error, size);
                            });
}

void BeastServer::Session::onRead(const error_code &error, std::size_t size)
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

void BeastServer::Session::onEnd(const error_code &error)
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

void BeastServer::Session::abandon(Slot &slot)
{
    if (const std::function<void()> task = std::move(slot.abandoned_))
        task();
    slot.abandoned_ = nullptr;
}

void BeastServer::Session::abandonAll()
{
    for (Slot &slot : slots_) {
        if (!slot.answer_)
            abandon(slot);
    }
}

void BeastServer::Session::parse()
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

void BeastServer::Session::newParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(worker_->options_.mostHeaderBytes_));
    parser_->body_limit(worker_->options_.mostRequestBytes_);
    parseStartedAt_ = BootClock::now();
    isHeaderSeen_ = false;
}

bool BeastServer::Session::onHeader()
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
bool BeastServer::Session::accountBody()
{
    const std::size_t held = parser_->get().body().size();
    return held <= reserved_ || reserve(held);
}

bool BeastServer::Session::reserve(std::size_t bytes)
{
    const std::size_t more = bytes - std::min(bytes, reserved_);
    const std::size_t before = worker_->buffered_->fetch_add(more, std::memory_order_relaxed);
    reserved_ += more;
    if (before + more <= worker_->options_.mostBufferedBytes_)
        return true;
    refuse(kUnavailable);
    return false;
}

void BeastServer::Session::releaseBuffered()
{
    worker_->buffered_->fetch_sub(std::exchange(reserved_, 0), std::memory_order_relaxed);
}

void BeastServer::Session::refuse(int status)
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

void BeastServer::Session::writeNext()
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

void BeastServer::Session::write()
{
    isWriting_ = true;
    asio::async_write(socket_, asio::buffer(writing_),
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->onWritten(error);
                      });
}

void BeastServer::Session::onWritten(const error_code &error)
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
void BeastServer::Session::finish()
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

} // namespace pimentostage
