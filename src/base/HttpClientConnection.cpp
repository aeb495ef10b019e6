#include "src/base/HttpClientConnection.h"

#include "src/base/BeastAnswer.h"

#include <array>
#include <charconv>
#include <string_view>

#include <boost/asio/write.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::size_t kReadSize = 8192; // bytes; most answers fit into a single read
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// A back end sends one or two before an answer.
constexpr std::size_t kMaxInterimAnswers = 16;
// A connection is not reused in this last part of the idle time that its peer announced, because
// the peer may close it while the request is on its way.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1000);

/// Checks the head of an answer, final or interim. The parser takes any three digits for a status.
/// @return what is wrong with @p head, or nullptr.
const char *faultOf(const http::response_header<> &head)
{
    constexpr unsigned kMinStatus = 100;
    constexpr unsigned kMinFinalStatus = 200;
    constexpr unsigned kMaxStatus = 599; // RFC 9110, 15: others are invalid
    const unsigned status = head.result_int();
    if (status < kMinStatus || status > kMaxStatus)
        return "the status is not from 100 to 599";
    if (status >= kMinFinalStatus)
        return nullptr;
    if (head.result() == http::status::switching_protocols)
        return "the peer switches to another protocol, which was not asked for";
    // Its body would be taken for the final answer.
    const bool hasBody = head.find(http::field::content_length) != head.end()
                         || head.find(http::field::transfer_encoding) != head.end();
    return hasBody ? "an interim answer has a body" : nullptr;
}

std::string_view textOf(const beast::flat_buffer &buffer)
{
    return { static_cast<const char *>(buffer.data().data()), buffer.size() };
}

/// Checks the lines of a head or trailer. The parser appends a line that begins with white space to
/// the value before it (RFC 9112, 5.2), so that a field whose name begins with a blank, perhaps the
/// one that frames the body, would be passed on as a part of another.
/// @param lines begins with a line; what follows an empty line is not checked.
/// @return whether one of them begins with white space.
bool hasFoldedLine(std::string_view lines)
{
    while (!lines.empty() && lines.front() != kLineEnd.front()) {
        if (lines.front() == ' ' || lines.front() == '\t')
            return true;
        const std::size_t end = lines.find(kLineEnd);
        if (end == std::string_view::npos)
            return false;
        lines.remove_prefix(end + kLineEnd.size());
    }
    return false;
}

/// @return the idle timeout in the Keep-Alive header of @p answer, or std::nullopt.
std::optional<Duration> announcedIdleTime(const HttpAnswer &answer)
{
    static constexpr std::string_view kTimeout = "timeout=";
    const std::string &value = answer.header("Keep-Alive");
    const std::size_t at = value.find(kTimeout);
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + kTimeout.size();
    const auto [end, error] = std::from_chars(begin, value.data() + value.size(), seconds);
    if (error != std::errc() || end == begin)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

/// @return whether each id in @p answer is the one that @p request expects, and there is one unless
///         it is optional.
bool hasExpectedId(const HttpAnswer &answer, const HttpRequest &request)
{
    if (request.expectedId_.empty())
        return true;
    bool hasId = request.isIdOptional_;
    for (const HttpHeader &header : answer.headers_) {
        if (!isSameHeaderName(header.name_, request.idHeader_))
            continue;
        if (header.value_ != request.expectedId_)
            return false;
        hasId = true;
    }
    return hasId;
}

} // namespace

void HttpClient::Impl::Connection::connect(const std::shared_ptr<Transfer> &transfer)
{
    transfer_ = transfer;
    transfer->connection_ = weak_from_this();
    timer_.expires_after(client_->options_.connectTimeout_);
    timer_.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error && !self->isConnected_)
            self->fail(Step::Connect, ErrorCode::Timeout,
                       "connection not established before the connect timeout");
    });
    socket_.async_connect(
        *transfer->url_.endpoint_,
        [self = shared_from_this()](const error_code &error) { self->onConnected(error); });
}

void HttpClient::Impl::Connection::send(const std::shared_ptr<Transfer> &transfer)
{
    transfer_ = transfer;
    transfer->connection_ = weak_from_this();
    transfer->connectionId_ = id_;
    transfer->isReused_ = responseCount_ > 0;
    const auto &maySend = transfer->request_.maySend_;
    if (maySend && !maySend()) {
        const std::shared_ptr<Transfer> refused = std::move(transfer_);
        refused->connection_.reset();
        becomeIdle();
        client_->fail(*refused, Step::Connect, ErrorCode::Stale,
                      "the lease that permits this request has expired");
        return;
    }
    interimCount_ = 0;
    resetParser();
    writeRequest();
}

bool HttpClient::Impl::Connection::isReusable(TimePoint now)
{
    return isConnected_ && now - idleSince_ < maxIdleTime_ && !hasUnreadInput();
}

// The pending read delivers the input later if the thread is busy.
bool HttpClient::Impl::Connection::hasUnreadInput()
{
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

void HttpClient::Impl::Connection::fail(Step step, ErrorCode code, const std::string &detail)
{
    const std::shared_ptr<Transfer> transfer = std::move(transfer_);
    close();
    if (transfer) {
        transfer->connection_.reset();
        client_->fail(*transfer, step, code, detail);
    }
}

void HttpClient::Impl::Connection::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    transfer_.reset();
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    const auto found = client_->peers_.find(peer_);
    if (found == client_->peers_.end())
        return;
    found->second.idleConnections_.remove(shared_from_this());
    found->second.openConnections_.erase(id_);
    asio::post(client_->context_, [client = client_, peer = peer_] { client->assignNext(peer); });
}

void HttpClient::Impl::Connection::onConnected(const error_code &error)
{
    if (isClosed_)
        return;
    timer_.cancel();
    if (error) {
        fail(Step::Connect, ErrorCode::Unreachable, error.message());
        return;
    }
    isConnected_ = true;
    lastReadAt_ = BootClock::now();
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // A close resets the connection, whoever closes it: otherwise the kernel goes on to deliver a
    // request that was given up, for as long as a partition lasts.
    socket_.set_option(tcp::socket::linger(true, 0), ignored);
    socket_.non_blocking(true, ignored);
    read();
    const std::shared_ptr<Transfer> transfer = transfer_;
    send(transfer);
}

void HttpClient::Impl::Connection::resetParser()
{
    headBytes_ = 0;
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(client_->options_.maxAnswerBytes_);
    parser_->skip(transfer_->request_.method_ == "HEAD");
    parser_->on_chunk_header(checkTrailer_);
}

void HttpClient::Impl::Connection::writeRequest()
{
    const HttpRequest &request = transfer_->request_;
    std::string &out = outgoing_;
    out.clear();
    out.append(request.method_).append(" ").append(transfer_->url_.target_);
    out.append(" HTTP/1.1\r\n");
    for (const HttpHeader &header : request.headers_)
        out.append(header.name_).append(": ").append(header.value_).append("\r\n");
    if (!findHeader(request.headers_, "Host"))
        out.append("Host: ").append(peer_).append("\r\n");
    const SharedBody body = request.body_;
    const std::size_t bodyBytes = body ? body->size() : 0;
    if (bodyBytes > 0 || request.method_ == "POST" || request.method_ == "PUT")
        out.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    out.append("\r\n");
    startWriting(body);
}

// The first write is made at once and not queued: its result tells whether any byte was sent on a
// connection that the peer has reset since it was chosen.
void HttpClient::Impl::Connection::startWriting(const SharedBody &body)
{
    const asio::const_buffer head = asio::buffer(outgoing_);
    const asio::const_buffer content = body ? asio::buffer(*body) : asio::const_buffer();
    error_code error;
    const std::size_t written
        = socket_.write_some(std::array<asio::const_buffer, 2> { head, content }, error);
    if (error && error != asio::error::would_block) {
        fail(Step::SendRequest, ErrorCode::ClosedUnanswered, error.message());
        return;
    }
    if (written == head.size() + content.size()) {
        transfer_->state_ = AttemptState::Sent;
        return;
    }
    isWriting_ = true;
    transfer_->state_ = AttemptState::PartlySent;
    const std::size_t writtenBody = written - std::min(written, head.size());
    const std::array<asio::const_buffer, 2> rest { head + written, content + writtenBody };
    asio::async_write(socket_, rest,
                      [self = shared_from_this(), body](const error_code &error, std::size_t) {
                          self->onWritten(error);
                      });
}

void HttpClient::Impl::Connection::onWritten(const error_code &error)
{
    isWriting_ = false;
    if (isClosed_)
        return;
    // An error of the write also ends the pending read, which first delivers the bytes that were
    // received before it; so the transfer ends in onEnd().
    writeError_ = error;
    if (!error && transfer_)
        transfer_->state_ = AttemptState::Sent;
}

// The kernel reports the error of a broken connection to one call only. If that is the write, the
// read sees the end of the stream, as after a regular close. A broken pipe, in contrast, means that
// the peer had ended its stream before it reset the connection.
error_code HttpClient::Impl::Connection::endReason(const error_code &readError) const
{
    const bool isBroken = writeError_ && writeError_ != asio::error::broken_pipe;
    return readError == asio::error::eof && isBroken ? writeError_ : readError;
}

void HttpClient::Impl::Connection::read()
{
    socket_.async_read_some(buffer_.prepare(kReadSize),
                            [self = shared_from_this()](const error_code &error, std::size_t size) {
                                self->onRead(error, size);
                            });
}

void HttpClient::Impl::Connection::onRead(const error_code &error, std::size_t size)
{
    if (isClosed_)
        return;
    buffer_.commit(size);
    if (!transfer_) {
        // The peer closed the idle connection, or sent bytes that belong to no request.
        close();
        return;
    }
    lastReadAt_ = BootClock::now();
    if (error) {
        onEnd(error);
        return;
    }
    if (!parse() || isClosed_)
        return;
    limitMemory();
    if (!isClosed_)
        read();
}

void HttpClient::Impl::Connection::onEnd(const error_code &readError)
{
    const error_code error = endReason(readError);
    error_code parseError;
    if (error == asio::error::eof && parser_->got_some())
        parser_->put_eof(parseError);
    const bool isWhole
        = error == asio::error::eof && parser_->got_some() && !parseError && parser_->is_done();
    if (isWhole) {
        mustClose_ = true;
        complete();
        return;
    }
    const bool hasBytes = parser_->got_some() || interimCount_ > 0 || buffer_.size() > 0;
    const bool isTruncated = error == asio::error::eof && parser_->got_some();
    const ErrorCode unread = hasBytes ? ErrorCode::Unreachable : ErrorCode::ClosedUnanswered;
    fail(isTruncated ? Step::CheckAnswer : Step::ReadAnswer,
         isTruncated ? ErrorCode::Mismatch : unread, error.message());
}

void HttpClient::Impl::Connection::TrailerCheck::operator()(std::uint64_t size,
                                                            beast::string_view extensions,
                                                            error_code &error) const
{
    if (size > 0)
        return;
    const std::string_view received = textOf(buffer_);
    const auto begin = static_cast<std::size_t>(extensions.end() - received.data());
    if (hasFoldedLine(received.substr(begin + kLineEnd.size())))
        error = http::error::bad_field;
}

bool HttpClient::Impl::Connection::parse()
{
    while (buffer_.size() > 0) {
        if (!parser_->is_header_done() && hasFoldedLine(textOf(buffer_))) {
            fail(Step::CheckAnswer, ErrorCode::Malformed,
                 "a line of the head begins with white space");
            return false;
        }
        error_code error;
        buffer_.consume(parser_->put(buffer_.data(), error));
        // The parser does not limit chunk extensions and trailers, of which it consumes nothing
        // until they are complete.
        if (error == http::error::need_more && buffer_.size() > kMaxHeaderBytes)
            error = http::error::header_limit;
        const char *fault = parser_->is_header_done() ? faultOf(parser_->get()) : nullptr;
        if (fault) {
            fail(Step::CheckAnswer, ErrorCode::Malformed, fault);
            return false;
        }
        if (error == http::error::need_more)
            return true;
        if (error) {
            const bool isTooLarge = error == http::error::body_limit;
            fail(isTooLarge ? Step::CheckAnswer : Step::ReadAnswer,
                 isTooLarge ? ErrorCode::Mismatch : ErrorCode::Malformed, error.message());
            return false;
        }
        if (!parser_->is_done())
            continue;
        const bool isInterim = parser_->get().result_int() < 200;
        if (isInterim && ++interimCount_ > kMaxInterimAnswers) {
            fail(Step::ReadAnswer, ErrorCode::Malformed, "too many interim answers");
            return false;
        }
        if (isInterim) {
            resetParser();
            continue;
        }
        // Bytes after a complete answer belong to no request.
        mustClose_ = buffer_.size() > 0;
        complete();
        return false;
    }
    return true;
}

// The capacities count: a body is reserved as announced, and grows by doubling.
void HttpClient::Impl::Connection::limitMemory()
{
    if (headBytes_ == 0 && parser_->is_header_done())
        headBytes_ = memoryOf(parser_->get());
    client_->limitMemory(transfer_->id_,
                         headBytes_ + buffer_.capacity() + parser_->get().body().capacity());
}

void HttpClient::Impl::Connection::complete()
{
    const std::shared_ptr<Transfer> transfer = std::move(transfer_);
    transfer->connection_.reset();
    // If the answer arrived before the request was completely written, the peer could take the
    // rest of the request for the next one.
    mustClose_ = mustClose_ || isWriting_ || writeError_ || !parser_->keep_alive();
    auto message = parser_->release();
    HttpAnswer answer;
    answer.status_ = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        answer.headers_.push_back({ std::string(field.name_string()), std::string(field.value()) });
    }
    answer.body_ = std::move(message.body());
    const HttpRequest &request = transfer->request_;
    if (!hasExpectedId(answer, request)) {
        close();
        client_->fail(*transfer, Step::CheckAnswer, ErrorCode::Mismatch,
                      "the answer has the id of another request");
        return;
    }
    ++responseCount_;
    if (const auto announced = announcedIdleTime(answer))
        maxIdleTime_ = std::min(client_->options_.maxIdleAge_, *announced - kIdleMargin);
    else
        maxIdleTime_ = client_->options_.maxIdleAge_;
    if (mustClose_) {
        close();
    } else {
        // Before the connection can be assigned: a read that succeeds immediately takes the bytes
        // from the socket, and its handler must run while the connection is still idle.
        read();
        becomeIdle();
    }
    HttpResult result;
    result.state_ = AttemptState::Answered;
    result.answer_ = std::move(answer);
    client_->finish(*transfer, std::move(result));
}

void HttpClient::Impl::Connection::becomeIdle()
{
    idleSince_ = BootClock::now();
    client_->peers_[peer_].idleConnections_.push_front(shared_from_this());
    asio::post(client_->context_, [client = client_, peer = peer_] { client->assignNext(peer); });
}

} // namespace pimentostage
