#include "src/base/BeastSession.h"

#include "src/base/BeastAnswer.h"
#include "src/base/BeastResponder.h"

#include <array>
#include <utility>

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

constexpr std::size_t kMaxWriteSize = std::size_t { 64 } * 1024; // bytes between two checks
constexpr std::size_t kMaxPipelinedRequests = 64; // unanswered requests per connection
// Time for a caller to read the last answer on a connection before it is closed.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
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

} // namespace

void BeastServer::Session::start()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    read();
}

void BeastServer::Session::onAnswer(std::uint64_t number, ServerAnswer answer)
{
    if (isClosed_ || number < firstPendingNumber_)
        return;
    PendingRequest &pending = pendingRequests_.at(number - firstPendingNumber_);
    pending.answer_ = std::move(answer);
    pending.onAbandoned_ = nullptr;
    if (countUnread(pending))
        writeNext();
}

void BeastServer::Session::setOnAbandoned(std::uint64_t number, std::function<void()> task)
{
    if (!isClosed_ && number >= firstPendingNumber_)
        pendingRequests_.at(number - firstPendingNumber_).onAbandoned_ = std::move(task);
}

// The thread may lag behind the socket, so the socket is asked for bytes that have not been read.
bool BeastServer::Session::isIdle() const
{
    error_code error;
    return pendingRequests_.empty() && !parser_ && !isWriting_ && !isLingering_
           && socket_.available(error) == 0;
}

// The pending read may already have taken bytes from the socket, so its result comes first:
// onRead() closes the connection if there are none.
void BeastServer::Session::finishIfIdle()
{
    if (!isIdle())
        return;
    if (!isReading_) {
        finish();
        return;
    }
    finishesAfterRead_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

void BeastServer::Session::closeIfIdle(TimePoint now)
{
    const bool hasReceivedRequest = firstPendingNumber_ > 0;
    const bool awaitsFirstRequest = !hasReceivedRequest && now - openedAt_ < kFirstRequestTimeout;
    if (!awaitsFirstRequest)
        finishIfIdle();
}

void BeastServer::Session::checkTimeouts(TimePoint now)
{
    const HttpServerOptions &options = worker_->options_;
    if (isLingering_) {
        if (now - lastActivityAt_ >= kLingerTimeout)
            close();
    } else if (isWriting_ && now - lastWriteAt_ >= options.bodyTimeout_) {
        close();
    } else if (parser_) {
        const bool hasHeader = parser_->is_header_done();
        const Duration timeout = hasHeader ? options.bodyTimeout_ : options.headerTimeout_;
        if (now - parseStartedAt_ >= timeout)
            refuse(kTimeout);
    } else if (now - lastActivityAt_ >= options.keepAliveTimeout_) {
        finishIfIdle();
    }
}

void BeastServer::Session::close()
{
    if (isClosed_)
        return;
    setInactive();
    isClosed_ = true;
    error_code ignored;
    socket_.close(ignored);
    abandonAll();
    bodyBytes_.release();
    headBytes_.release();
    worker_->unread_.remove(id_);
    worker_->sessions_.erase(id_);
}

void BeastServer::Session::setInactive()
{
    if (std::exchange(isActive_, false))
        worker_->activeConnections_.fetch_sub(1, std::memory_order_relaxed);
}

void BeastServer::Session::read()
{
    if (isReading_ || isClosed_ || hasReceivedEof_)
        return;
    const bool isFull = pendingRequests_.size() >= kMaxPipelinedRequests;
    if (isFull && !isLingering_)
        return;
    isReading_ = true;
    // A pending read would need a buffer for each idle connection.
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this()](const error_code &error) {
                           self->isReading_ = false;
                           self->onReadable(error);
                       });
}

void BeastServer::Session::onReadable(const error_code &waitError)
{
    if (isClosed_ || waitError) {
        onRead(waitError, 0);
        return;
    }
    error_code error;
    const auto part = asio::buffer(worker_->readBuffer_);
    const std::size_t size = socket_.read_some(part, error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    buffer_.commit(asio::buffer_copy(buffer_.prepare(size), part, size));
    onRead(error, size);
}

void BeastServer::Session::onRead(const error_code &error, std::size_t size)
{
    if (isClosed_)
        return;
    const bool isCancelled
        = std::exchange(finishesAfterRead_, false) && error == asio::error::operation_aborted;
    if (isCancelled) {
        if (isIdle())
            finish();
        else
            read();
        return;
    }
    if (error) {
        onReadError(error);
        return;
    }
    // What follows the last request is read only to notice that the caller disconnects.
    if (isLingering_ || hasReceivedLastRequest_) {
        buffer_.consume(buffer_.size());
        read();
        return;
    }
    lastActivityAt_ = BootClock::now();
    recordProgress(size);
    parse();
    countHead();
    read();
}

void BeastServer::Session::onReadError(const error_code &error)
{
    const bool isHalfClosed = error == asio::error::eof && !pendingRequests_.empty();
    if (!isHalfClosed || isLingering_) {
        close();
        return;
    }
    hasReceivedEof_ = true;
    hasReceivedLastRequest_ = hasReceivedLastRequest_ || pendingRequests_.empty();
    if (worker_->halfClose_ == HalfClosePolicy::Answer)
        return;
    bool hasRemaining = isWriting_;
    for (PendingRequest &pending : pendingRequests_) {
        const bool isAbandoned = !pending.answer_ && pending.isSafeMethod_;
        if (isAbandoned)
            abandon(pending);
        hasRemaining = hasRemaining || !isAbandoned;
    }
    if (!hasRemaining)
        close();
}

void BeastServer::Session::abandon(PendingRequest &pending)
{
    if (const std::function<void()> task = std::move(pending.onAbandoned_))
        task();
    pending.onAbandoned_ = nullptr;
}

void BeastServer::Session::abandonAll()
{
    for (PendingRequest &pending : pendingRequests_) {
        if (!pending.answer_)
            abandon(pending);
    }
}

void BeastServer::Session::parse()
{
    while (buffer_.size() > 0 && pendingRequests_.size() < kMaxPipelinedRequests
           && !hasReceivedLastRequest_ && !isClosed_) {
        if (!parser_)
            newParser();
        error_code error;
        const std::size_t consumed = parser_->put(buffer_.data(), error);
        buffer_.consume(consumed);
        if (error && error != http::error::need_more) {
            refuse(statusFor(error));
            return;
        }
        if (parser_->is_header_done() && !isHeaderChecked_ && !onHeader())
            return;
        if (parser_->is_header_done() && !reserveBody())
            return;
        if (parser_->is_done()) {
            if (!countHead())
                return;
            dispatch();
            continue;
        }
        // The parser does not limit the extensions of a chunk and the trailer.
        if (parser_->is_header_done() && buffer_.size() > worker_->options_.maxHeaderBytes_) {
            refuse(kHeaderTooLarge);
            return;
        }
        if (error == http::error::need_more || consumed == 0)
            return;
    }
}

void BeastServer::Session::newParser()
{
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(worker_->options_.maxHeaderBytes_));
    parser_->body_limit(worker_->options_.maxRequestBytes_);
    parseStartedAt_ = BootClock::now();
    progressAt_ = parseStartedAt_;
    progressBytes_ = 0;
    isHeaderChecked_ = false;
}

bool BeastServer::Session::onHeader()
{
    isHeaderChecked_ = true;
    headMemory_ = memoryOf(parser_->get());
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
    if (wantsContinue && pendingRequests_.empty() && !isWriting_) {
        writeBuffer_ = "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    return true;
}

void BeastServer::Session::refuse(int status)
{
    parser_.reset();
    bodyBytes_.release();
    headBytes_.release();
    PendingRequest pending;
    ServerAnswer answer { status, "", {}, "" };
    if (status == kUnavailable && worker_->options_.overloadAnswer_)
        answer = worker_->options_.overloadAnswer_();
    else if (status == kUnavailable)
        answer.headers_.push_back({ "Retry-After", "1" });
    answer.closesConnection_ = true;
    pending.answer_ = std::move(answer);
    pendingRequests_.push_back(std::move(pending));
    hasReceivedLastRequest_ = true;
    buffer_.consume(buffer_.size());
    writeNext();
}

void BeastServer::Session::writeNext()
{
    if (isWriting_ || isClosed_ || pendingRequests_.empty() || !pendingRequests_.front().answer_)
        return;
    PendingRequest pending = std::move(pendingRequests_.front());
    pendingRequests_.pop_front();
    ++firstPendingNumber_;
    hasReceivedLastRequest_ = hasReceivedLastRequest_ || worker_->draining_;
    const bool isFinal = pendingRequests_.empty() && (hasReceivedLastRequest_ || hasReceivedEof_);
    closesAfterWrite_ = pending.answer_->closesConnection_ || isFinal;
    writeBuffer_ = encodeHead(*pending.answer_, closesAfterWrite_);
    if (!pending.isHeadRequest_ && !hasNoBody(pending.answer_->status_))
        writeBody_ = std::move(pending.answer_->body_);
    writingBytes_ = pending.answerBytes_;
    write();
}

void BeastServer::Session::write()
{
    isWriting_ = true;
    lastWriteAt_ = BootClock::now();
    const auto nextSize = [self = shared_from_this()](const error_code &error, std::size_t) {
        self->lastWriteAt_ = BootClock::now();
        return error ? std::size_t { 0 } : kMaxWriteSize;
    };
    const std::array<asio::const_buffer, 2> parts { asio::buffer(writeBuffer_),
                                                    asio::buffer(writeBody_) };
    asio::async_write(socket_, parts, nextSize,
                      [self = shared_from_this()](const error_code &error, std::size_t) {
                          self->onWritten(error);
                      });
}

void BeastServer::Session::onWritten(const error_code &error)
{
    isWriting_ = false;
    // An assignment would keep the memory.
    std::string().swap(writeBody_);
    if (isClosed_)
        return;
    endUnread(std::exchange(writingBytes_, 0));
    if (error) {
        close();
        return;
    }
    lastActivityAt_ = BootClock::now();
    if (closesAfterWrite_) {
        finish();
        return;
    }
    writeNext();
    parse();
    countHead();
    read();
}

// Closing the socket at once would reset the connection if the caller has sent more data, and the
// caller would lose the answer. Pipelined requests after the last answer are abandoned.
void BeastServer::Session::finish()
{
    abandonAll();
    // The abandoned requests may still be answered.
    firstPendingNumber_ += pendingRequests_.size();
    pendingRequests_.clear();
    if (hasReceivedEof_) {
        close();
        return;
    }
    isLingering_ = true;
    // The last answer may still be on its way; a close with unread bytes would cut it.
    if (!closesAfterWrite_)
        setInactive();
    lastActivityAt_ = BootClock::now();
    buffer_.consume(buffer_.size());
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    read();
}

void BeastServer::Session::dispatch()
{
    PendingRequest pending;
    auto message = parser_->release();
    hasReceivedLastRequest_ = !message.keep_alive();
    pending.isHeadRequest_ = message.method() == http::verb::head;
    pending.isSafeMethod_ = pending.isHeadRequest_ || message.method() == http::verb::get;
    parser_.reset();
    ServerRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto &field : message)
        request.headers_.push_back(
            { std::string(field.name_string()), std::string(field.value()) });
    request.body_ = std::move(message.body());
    request.connection_ = connection_;
    const std::uint64_t number = firstPendingNumber_ + pendingRequests_.size();
    pendingRequests_.push_back(std::move(pending));
    worker_->handler_(std::move(request),
                      std::make_shared<Responder>(shared_from_this(), worker_->context_, number,
                                                  std::move(bodyBytes_), std::move(headBytes_)));
}

} // namespace pimentostage
