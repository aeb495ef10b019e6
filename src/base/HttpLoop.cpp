#include "src/base/HttpLoop.h"

#include "src/base/EventLoop.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <future>
#include <list>
#include <unordered_map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadSize = 8192; // bytes; most answers fit into one read
constexpr std::uint32_t kMostHeaderBytes = 64 * 1024;
constexpr std::string_view kScheme = "http://";
// A connection is not reused in the last part of the idle time that its peer announced.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1000);

/// The parts of a URL "http://ip:port/target".
struct SplitUrl
{
    std::string peer_; ///< "ip:port"
    std::string target_;
    std::optional<tcp::endpoint> endpoint_; ///< nothing if the URL is not one
};

SplitUrl splitUrl(std::string_view url)
{
    SplitUrl split;
    if (url.substr(0, kScheme.size()) != kScheme)
        return split;
    url.remove_prefix(kScheme.size());
    const std::size_t slash = std::min(url.find('/'), url.size());
    split.peer_ = url.substr(0, slash);
    split.target_ = slash < url.size() ? url.substr(slash) : "/";
    const std::size_t colon = split.peer_.find(':');
    if (colon == std::string::npos)
        return split;
    std::uint16_t port = 0;
    const char *end = split.peer_.data() + split.peer_.size();
    const auto [rest, fault] = std::from_chars(split.peer_.data() + colon + 1, end, port);
    error_code error;
    const auto ip = asio::ip::make_address_v4(split.peer_.substr(0, colon), error);
    if (fault == std::errc() && rest == end && !error)
        split.endpoint_ = tcp::endpoint(ip, port);
    return split;
}

/// @return the idle time that an answer's Keep-Alive header announces, or nothing.
std::optional<Duration> announcedIdleTime(const HttpAnswer &answer)
{
    static constexpr std::string_view kTimeout = "timeout=";
    const std::string &value = answer.header("Keep-Alive");
    const std::size_t at = value.find(kTimeout);
    if (at == std::string::npos)
        return std::nullopt;
    int seconds = 0;
    const char *begin = value.data() + at + kTimeout.size();
    const auto [end, fault] = std::from_chars(begin, value.data() + value.size(), seconds);
    if (fault != std::errc() || end == begin)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

const std::string &HttpAnswer::header(std::string_view name) const
{
    static const std::string none;
    const HttpHeader *found = findHeader(headers_, name);
    return found ? found->value_ : none;
}

class HttpLoop::Impl : public std::enable_shared_from_this<Impl>
{
public:
    Impl(const HttpLoopOptions &options, EventLoop &loop)
        : options_(options)
        , context_(loop.context())
    { }

    void post(Task task)
    {
        asio::post(context_, [self = shared_from_this(), task = std::move(task)] {
            if (!self->closed_)
                task();
        });
    }

    TransferId start(HttpRequest request, Done done);
    void cancel(TransferId id);

    void runAt(TimePoint at, Task task)
    {
        auto timer = std::make_shared<asio::steady_timer>(context_);
        timer->expires_after(std::max(Duration::zero(), at - BootClock::now()));
        timer->async_wait(
            [self = shared_from_this(), timer, task = std::move(task)](const error_code &error) {
                if (!error && !self->closed_)
                    task();
            });
    }

    /// Closes everything; nothing is called any more.
    void close();

private:
    class Connection;
    struct PeerState;

    struct Transfer
    {
        Transfer(asio::io_context &context, HttpRequest request, Done done)
            : request_(std::move(request))
            , done_(std::move(done))
            , timer_(context)
            , startedAt_(BootClock::now())
        { }

        TransferId id_ = 0;
        HttpRequest request_;
        SplitUrl url_;
        Done done_;
        asio::steady_timer timer_;
        TimePoint startedAt_;
        AttemptState state_ = AttemptState::NotSent;
        bool isReused_ = false;
        std::weak_ptr<Connection> connection_; ///< while it has one
    };

    struct PeerState
    {
        std::list<std::shared_ptr<Connection>> idle_; ///< the one used last first
        std::deque<TransferId> waiting_; ///< for a connection
        long open_ = 0;
    };

    void assign(const std::shared_ptr<Transfer> &transfer);
    void assignNext(const std::string &peer);
    std::shared_ptr<Connection> takeIdle(PeerState &peer);
    void onTimeout(TransferId id);
    void finish(Transfer &transfer, HttpResult result);
    void fail(Transfer &transfer, Step step, ErrorCode code, std::string detail);

    const HttpLoopOptions options_;
    asio::io_context &context_;
    std::unordered_map<TransferId, std::shared_ptr<Transfer>> transfers_;
    std::unordered_map<std::string, PeerState> peers_;
    TransferId lastId_ = 0;
    bool closed_ = false;
};

/// One TCP connection to a peer. Always reads, so that it learns of its end at once.
class HttpLoop::Impl::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(std::shared_ptr<Impl> loop, std::string peer)
        : loop_(std::move(loop))
        , peer_(std::move(peer))
        , socket_(loop_->context_)
        , timer_(loop_->context_)
    { }

    void connect(const std::shared_ptr<Transfer> &transfer)
    {
        transfer_ = transfer;
        transfer->connection_ = weak_from_this();
        timer_.expires_after(loop_->options_.connectTimeout_);
        timer_.async_wait([self = shared_from_this()](const error_code &error) {
            if (!error && !self->isConnected_)
                self->fail(Step::Connect, ErrorCode::Timeout, "no connection in time");
        });
        socket_.async_connect(
            *transfer->url_.endpoint_,
            [self = shared_from_this()](const error_code &error) { self->onConnected(error); });
    }

    /// Sends @p transfer on this idle connection.
    void send(const std::shared_ptr<Transfer> &transfer)
    {
        transfer_ = transfer;
        transfer->connection_ = weak_from_this();
        transfer->isReused_ = served_ > 0;
        const auto &maySend = transfer->request_.maySend_;
        if (maySend && !maySend()) {
            const std::shared_ptr<Transfer> refused = std::move(transfer_);
            refused->connection_.reset();
            becomeIdle();
            loop_->fail(*refused, Step::Connect, ErrorCode::Stale,
                        "the lease under which it was to be sent has ended");
            return;
        }
        newParser();
        writeRequest();
    }

    [[nodiscard]] bool isReusable(TimePoint now) const
    {
        return isConnected_ && now - idleSince_ < idleLimit_;
    }
    [[nodiscard]] TimePoint heardAt() const { return heardAt_; }

    /// Closes it; a transfer on it ends as @p step and @p code say.
    void fail(Step step, ErrorCode code, const std::string &detail)
    {
        const std::shared_ptr<Transfer> transfer = std::move(transfer_);
        close();
        if (transfer) {
            transfer->connection_.reset();
            loop_->fail(*transfer, step, code, detail);
        }
    }

    void close()
    {
        if (isClosed_)
            return;
        isClosed_ = true;
        transfer_.reset();
        timer_.cancel();
        error_code ignored;
        socket_.close(ignored);
        const auto found = loop_->peers_.find(peer_);
        if (found == loop_->peers_.end())
            return;
        found->second.idle_.remove(shared_from_this());
        --found->second.open_;
        asio::post(loop_->context_, [loop = loop_, peer = peer_] { loop->assignNext(peer); });
    }

private:
    void onConnected(const error_code &error)
    {
        if (isClosed_)
            return;
        timer_.cancel();
        if (error) {
            fail(Step::Connect, ErrorCode::Unreachable, error.message());
            return;
        }
        isConnected_ = true;
        heardAt_ = BootClock::now();
        error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        read();
        const std::shared_ptr<Transfer> transfer = transfer_;
        send(transfer);
    }

    void newParser()
    {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(kMostHeaderBytes);
        parser_->body_limit(loop_->options_.mostAnswerBytes_);
        parser_->skip(transfer_->request_.method_ == "HEAD");
    }

    void writeRequest()
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
        const bool hasBody
            = !request.body_.empty() || request.method_ == "POST" || request.method_ == "PUT";
        if (hasBody)
            out.append("Content-Length: ")
                .append(std::to_string(request.body_.size()))
                .append("\r\n");
        out.append("\r\n");
        out.append(request.body_);
        isWriting_ = true;
        transfer_->state_ = AttemptState::PartlySent;
        asio::async_write(socket_, asio::buffer(outgoing_),
                          [self = shared_from_this()](const error_code &error, std::size_t) {
                              self->onWritten(error);
                          });
    }

    void onWritten(const error_code &error)
    {
        isWriting_ = false;
        if (isClosed_)
            return;
        // A failed write shows in the pending read too, which knows what came before it.
        if (!error && transfer_)
            transfer_->state_ = AttemptState::Sent;
    }

    void read()
    {
        socket_.async_read_some(
            buffer_.prepare(kReadSize),
            [self = shared_from_this()](const error_code &error, std::size_t size) {
                self->onRead(error, size);
            });
    }

    void onRead(const error_code &error, std::size_t size)
    {
        if (isClosed_)
            return;
        buffer_.commit(size);
        if (!transfer_) {
            // The peer closed it, or sent what nobody asked for.
            close();
            return;
        }
        heardAt_ = BootClock::now();
        if (error) {
            onEnd(error);
            return;
        }
        if (parse() && !isClosed_)
            read();
    }

    void onEnd(const error_code &error)
    {
        error_code fault;
        if (error == asio::error::eof && parser_->got_some())
            parser_->put_eof(fault);
        const bool isWhole
            = error == asio::error::eof && parser_->got_some() && !fault && parser_->is_done();
        if (isWhole) {
            mustClose_ = true;
            complete();
            return;
        }
        const bool isShort = error == asio::error::eof && parser_->got_some();
        fail(isShort ? Step::CheckAnswer : Step::ReadAnswer,
             isShort ? ErrorCode::Mismatch : ErrorCode::Unreachable, error.message());
    }

    /// @return whether the connection reads on.
    bool parse()
    {
        while (buffer_.size() > 0) {
            error_code error;
            buffer_.consume(parser_->put(buffer_.data(), error));
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
            if (isInterim) {
                newParser();
                continue;
            }
            // Bytes behind a whole answer belong to nobody.
            mustClose_ = buffer_.size() > 0;
            return complete();
        }
        return true;
    }

    /// Hands the parsed answer over. @return whether the connection reads on.
    bool complete()
    {
        const std::shared_ptr<Transfer> transfer = std::move(transfer_);
        transfer->connection_.reset();
        // An answer before the whole request was written: the rest must not be taken for another.
        mustClose_ = mustClose_ || isWriting_ || !parser_->keep_alive();
        auto message = parser_->release();
        HttpAnswer answer;
        answer.status_ = static_cast<int>(message.result_int());
        for (const auto &field : message) {
            answer.headers_.push_back(
                { std::string(field.name_string()), std::string(field.value()) });
        }
        answer.body_ = std::move(message.body());
        const HttpRequest &request = transfer->request_;
        const bool isMismatched = !request.expectedId_.empty()
                                  && answer.header(request.idHeader_) != request.expectedId_;
        if (isMismatched) {
            close();
            loop_->fail(*transfer, Step::CheckAnswer, ErrorCode::Mismatch,
                        "the answer carries another request's id");
            return false;
        }
        ++served_;
        if (const auto announced = announcedIdleTime(answer))
            idleLimit_ = std::min(loop_->options_.mostIdleAge_, *announced - kIdleMargin);
        else
            idleLimit_ = loop_->options_.mostIdleAge_;
        if (mustClose_)
            close();
        else
            becomeIdle();
        HttpResult result;
        result.state_ = AttemptState::Answered;
        result.answer_ = std::move(answer);
        loop_->finish(*transfer, std::move(result));
        return !isClosed_;
    }

    void becomeIdle()
    {
        idleSince_ = BootClock::now();
        loop_->peers_[peer_].idle_.push_front(shared_from_this());
        asio::post(loop_->context_, [loop = loop_, peer = peer_] { loop->assignNext(peer); });
    }

    const std::shared_ptr<Impl> loop_;
    const std::string peer_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    beast::flat_buffer buffer_;
    std::optional<http::response_parser<http::string_body>> parser_;
    std::shared_ptr<Transfer> transfer_; ///< nullptr while idle
    std::string outgoing_;
    TimePoint idleSince_ {};
    TimePoint heardAt_ {};
    Duration idleLimit_ = std::chrono::hours(1); // until an answer tells more
    std::size_t served_ = 0;
    bool isConnected_ = false;
    bool isWriting_ = false;
    bool mustClose_ = false;
    bool isClosed_ = false;
};

HttpLoop::TransferId HttpLoop::Impl::start(HttpRequest request, Done done)
{
    auto transfer = std::make_shared<Transfer>(context_, std::move(request), std::move(done));
    transfer->id_ = ++lastId_;
    transfer->url_ = splitUrl(transfer->request_.url_);
    transfers_.emplace(transfer->id_, transfer);
    transfer->timer_.expires_after(std::max(Duration::zero(), transfer->request_.timeout_));
    transfer->timer_.async_wait(
        [self = shared_from_this(), id = transfer->id_](const error_code &error) {
            if (!error)
                self->onTimeout(id);
        });
    // Later, so that the caller knows the transfer's id before its function is called.
    asio::post(context_, [self = shared_from_this(), id = transfer->id_] {
        const auto found = self->transfers_.find(id);
        if (found != self->transfers_.end())
            self->assign(found->second);
    });
    return transfer->id_;
}

void HttpLoop::Impl::assign(const std::shared_ptr<Transfer> &transfer)
{
    if (!transfer->url_.endpoint_) {
        fail(*transfer, Step::Connect, ErrorCode::InvalidValue,
             "not a URL of the form http://ip:port");
        return;
    }
    PeerState &peer = peers_[transfer->url_.peer_];
    if (const std::shared_ptr<Connection> idle = takeIdle(peer)) {
        idle->send(transfer);
        return;
    }
    if (peer.open_ >= options_.connectionsPerPeer_) {
        peer.waiting_.push_back(transfer->id_);
        return;
    }
    ++peer.open_;
    std::make_shared<Connection>(shared_from_this(), transfer->url_.peer_)->connect(transfer);
}

std::shared_ptr<HttpLoop::Impl::Connection> HttpLoop::Impl::takeIdle(PeerState &peer)
{
    const TimePoint now = BootClock::now();
    while (!peer.idle_.empty()) {
        const std::shared_ptr<Connection> connection = peer.idle_.front();
        peer.idle_.pop_front();
        if (connection->isReusable(now))
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpLoop::Impl::assignNext(const std::string &peerName)
{
    const auto peer = peers_.find(peerName);
    if (closed_ || peer == peers_.end())
        return;
    while (!peer->second.waiting_.empty()) {
        const TransferId id = peer->second.waiting_.front();
        const auto found = transfers_.find(id);
        if (found == transfers_.end()) {
            peer->second.waiting_.pop_front();
            continue;
        }
        const bool hasRoom
            = !peer->second.idle_.empty() || peer->second.open_ < options_.connectionsPerPeer_;
        if (!hasRoom)
            return;
        peer->second.waiting_.pop_front();
        assign(found->second);
    }
}

void HttpLoop::Impl::onTimeout(TransferId id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> transfer = found->second;
    const std::shared_ptr<Connection> connection = transfer->connection_.lock();
    if (!connection) {
        fail(*transfer, Step::Connect, ErrorCode::Timeout, "no connection in time");
        return;
    }
    const bool wasSilent = connection->heardAt() < transfer->startedAt_;
    if (wasSilent) {
        // Others that were opened before may have gone silent with it.
        PeerState &peer = peers_[transfer->url_.peer_];
        const std::list<std::shared_ptr<Connection>> idle = peer.idle_;
        for (const auto &other : idle) {
            if (other->heardAt() < transfer->startedAt_)
                other->close();
        }
    }
    const bool isSent = transfer->state_ != AttemptState::NotSent;
    connection->fail(isSent ? Step::ReadAnswer : Step::Connect, ErrorCode::Timeout,
                     "no whole answer in time");
}

void HttpLoop::Impl::cancel(TransferId id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> transfer = std::move(found->second);
    transfers_.erase(found);
    transfer->timer_.cancel();
    if (const std::shared_ptr<Connection> connection = transfer->connection_.lock())
        connection->close();
}

void HttpLoop::Impl::fail(Transfer &transfer, Step step, ErrorCode code, std::string detail)
{
    HttpResult result;
    result.state_ = transfer.state_;
    result.error_
        = Error { transfer.state_ == AttemptState::NotSent ? Step::Connect : step,
                  Peer { options_.peerKind_, transfer.request_.url_ }, code, std::move(detail) };
    finish(transfer, std::move(result));
}

void HttpLoop::Impl::finish(Transfer &transfer, HttpResult result)
{
    const auto found = transfers_.find(transfer.id_);
    if (closed_ || found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> finished = std::move(found->second);
    transfers_.erase(found);
    finished->timer_.cancel();
    result.elapsed_ = BootClock::now() - finished->startedAt_;
    result.isReused_ = finished->isReused_;
    finished->done_(std::move(result));
}

void HttpLoop::Impl::close()
{
    closed_ = true;
    for (auto &[id, transfer] : transfers_)
        transfer->timer_.cancel();
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto &[name, peer] : peers_)
        open.insert(open.end(), peer.idle_.begin(), peer.idle_.end());
    for (const auto &[id, transfer] : transfers_) {
        if (auto connection = transfer->connection_.lock())
            open.push_back(std::move(connection));
    }
    transfers_.clear();
    for (const auto &connection : open)
        connection->close();
    peers_.clear();
}

HttpLoop::HttpLoop(const HttpLoopOptions &options)
    : ownLoop_(std::make_unique<EventLoop>(options.threadName_))
    , impl_(std::make_shared<Impl>(options, *ownLoop_))
{ }

HttpLoop::HttpLoop(const HttpLoopOptions &options, EventLoop &loop)
    : impl_(std::make_shared<Impl>(options, loop))
{ }

HttpLoop::~HttpLoop()
{
    if (ownLoop_) {
        ownLoop_->run([this] { impl_->close(); });
        ownLoop_->stop();
        return;
    }
    impl_->post([impl = impl_] { impl->close(); });
}

void HttpLoop::post(Task task)
{
    impl_->post(std::move(task));
}

HttpLoop::TransferId HttpLoop::start(HttpRequest request, Done done)
{
    return impl_->start(std::move(request), std::move(done));
}

void HttpLoop::cancel(TransferId transfer)
{
    impl_->cancel(transfer);
}

void HttpLoop::runAt(TimePoint at, Task task)
{
    impl_->runAt(at, std::move(task));
}

HttpResult HttpLoop::fetch(HttpRequest request)
{
    auto promise = std::make_shared<std::promise<HttpResult>>();
    std::future<HttpResult> future = promise->get_future();
    post([this, promise, request = std::move(request)]() mutable {
        start(std::move(request),
              [promise](HttpResult result) { promise->set_value(std::move(result)); });
    });
    return future.get();
}

} // namespace pimentostage
