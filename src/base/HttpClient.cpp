#include "src/base/HttpClient.h"

#include "src/base/HttpClientConnection.h"

#include <algorithm>
#include <charconv>
#include <future>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::string_view kScheme = "http://";

ParsedUrl parseUrl(std::string_view url)
{
    ParsedUrl parsed;
    if (url.substr(0, kScheme.size()) != kScheme)
        return parsed;
    url.remove_prefix(kScheme.size());
    const std::size_t slash = std::min(url.find('/'), url.size());
    parsed.peer_ = url.substr(0, slash);
    parsed.target_ = slash < url.size() ? url.substr(slash) : "/";
    const std::size_t colon = parsed.peer_.find(':');
    if (colon == std::string::npos)
        return parsed;
    std::uint16_t port = 0;
    const char *end = parsed.peer_.data() + parsed.peer_.size();
    const auto [rest, portError] = std::from_chars(parsed.peer_.data() + colon + 1, end, port);
    error_code error;
    const auto ip = asio::ip::make_address_v4(parsed.peer_.substr(0, colon), error);
    if (portError == std::errc() && rest == end && !error)
        parsed.endpoint_ = tcp::endpoint(ip, port);
    return parsed;
}

} // namespace

const std::string &HttpAnswer::header(std::string_view name) const
{
    static const std::string none;
    const HttpHeader *found = findHeader(headers_, name);
    return found ? found->value_ : none;
}

HttpClient::TransferId HttpClient::Impl::start(HttpRequest request, Done done)
{
    auto transfer = std::make_shared<Transfer>(context_, std::move(request), std::move(done));
    transfer->id_ = ++lastId_;
    transfer->url_ = parseUrl(transfer->request_.url_);
    transfers_.emplace(transfer->id_, transfer);
    transfer->timer_.expires_after(std::max(Duration::zero(), transfer->request_.timeout_));
    transfer->timer_.async_wait(
        [self = shared_from_this(), id = transfer->id_](const error_code &error) {
            if (!error)
                self->onTimeout(id);
        });
    // Deferred, so that the caller has the id of the transfer before its callback runs.
    asio::post(context_, [self = shared_from_this(), id = transfer->id_] {
        const auto found = self->transfers_.find(id);
        if (found != self->transfers_.end())
            self->assign(found->second);
    });
    return transfer->id_;
}

void HttpClient::Impl::assign(const std::shared_ptr<Transfer> &transfer)
{
    if (!transfer->url_.endpoint_) {
        fail(*transfer, Step::Connect, ErrorCode::InvalidValue,
             "the URL is not of the form http://ip:port");
        return;
    }
    PeerState &peer = peers_[transfer->url_.peer_];
    if (transfer->request_.requiredConnection_ != 0) {
        assignRequired(peer, transfer);
        return;
    }
    if (const std::shared_ptr<Connection> idle = takeIdle(peer, transfer->request_)) {
        idle->send(transfer);
        return;
    }
    if (!mayConnect(peer)) {
        if (peer.idleConnections_.empty()) {
            peer.waitingTransfers_.push_back(transfer->id_);
            return;
        }
        // Makes room: the idle connections that are left are those to avoid.
        const std::shared_ptr<Connection> leastRecent = peer.idleConnections_.back();
        leastRecent->close();
    }
    const ConnectionId id = ++lastConnectionId_;
    peer.openConnections_.insert(id);
    std::make_shared<Connection>(shared_from_this(), transfer->url_.peer_, id)->connect(transfer);
}

void HttpClient::Impl::assignRequired(PeerState &peer, const std::shared_ptr<Transfer> &transfer)
{
    if (const std::shared_ptr<Connection> idle = takeIdle(peer, transfer->request_))
        idle->send(transfer);
    else if (peer.openConnections_.contains(transfer->request_.requiredConnection_))
        peer.waitingTransfers_.push_back(transfer->id_);
    else
        fail(*transfer, Step::Connect, ErrorCode::ConnectionClosed,
             "the connection that the request requires is closed");
}

std::shared_ptr<HttpClient::Impl::Connection> HttpClient::Impl::takeIdle(PeerState &peer,
                                                                         const HttpRequest &request)
{
    const std::vector<ConnectionId> &avoided = request.avoidedConnections_;
    const auto isEligible = [&](ConnectionId id) {
        const bool isAvoided = std::find(avoided.begin(), avoided.end(), id) != avoided.end();
        return !isAvoided
               && (request.requiredConnection_ == 0 || request.requiredConnection_ == id);
    };
    const TimePoint now = BootClock::now();
    for (auto next = peer.idleConnections_.begin(); next != peer.idleConnections_.end();) {
        const std::shared_ptr<Connection> connection = *next;
        if (!isEligible(connection->id())) {
            ++next;
            continue;
        }
        next = peer.idleConnections_.erase(next);
        if (connection->isReusable(now))
            return connection;
        connection->close();
    }
    return nullptr;
}

void HttpClient::Impl::assignNext(const std::string &peerName)
{
    const auto peer = peers_.find(peerName);
    if (isClosed_ || peer == peers_.end())
        return;
    // A transfer that still waits for the connection it requires goes to the end of the queue, so
    // each is looked at once only.
    for (std::size_t left = peer->second.waitingTransfers_.size(); left > 0; --left) {
        const TransferId id = peer->second.waitingTransfers_.front();
        const auto found = transfers_.find(id);
        if (found == transfers_.end()) {
            peer->second.waitingTransfers_.pop_front();
            continue;
        }
        const ConnectionId required = found->second->request_.requiredConnection_;
        const bool isClosed = required != 0 && !peer->second.openConnections_.contains(required);
        if (!isClosed && peer->second.idleConnections_.empty() && !mayConnect(peer->second))
            return;
        peer->second.waitingTransfers_.pop_front();
        assign(found->second);
    }
}

bool HttpClient::Impl::mayConnect(const PeerState &peer) const
{
    return std::ssize(peer.openConnections_) < options_.connectionsPerPeer_;
}

void HttpClient::Impl::onTimeout(TransferId id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> transfer = found->second;
    const std::shared_ptr<Connection> connection = transfer->connection_.lock();
    if (!connection) {
        fail(*transfer, Step::Connect, ErrorCode::Timeout,
             "no connection before the request's timeout");
        return;
    }
    const bool wasSilent = connection->lastReadAt() < transfer->startedAt_;
    if (wasSilent) {
        // Other connections that were last read before the request started may be broken too, for
        // example if the peer is gone without closing them.
        PeerState &peer = peers_[transfer->url_.peer_];
        const std::list<std::shared_ptr<Connection>> idle = peer.idleConnections_;
        for (const auto &other : idle) {
            if (other->lastReadAt() < transfer->startedAt_)
                other->close();
        }
    }
    const bool isSent = transfer->state_ != AttemptState::NotSent;
    connection->fail(isSent ? Step::ReadAnswer : Step::Connect, ErrorCode::Timeout,
                     "no complete answer before the request's timeout");
}

void HttpClient::Impl::limitMemory(TransferId id, std::size_t bytes)
{
    answerMemory_.update(id, bytes);
    while (const auto largest = answerMemory_.answerToGiveUp()) {
        const std::string detail
            = "the largest unfinished answer, " + std::to_string(answerMemory_.bytesOf(*largest))
              + " of " + std::to_string(answerMemory_.totalBytes()) + " bytes in all; the limit is "
              + std::to_string(answerMemory_.maxBytes());
        answerMemory_.remove(*largest);
        if (options_.memory_)
            options_.memory_->countRefusal(options_.account_);
        const auto found = transfers_.find(*largest);
        if (found == transfers_.end())
            continue;
        if (const std::shared_ptr<Connection> connection = found->second->connection_.lock())
            connection->fail(Step::ReadAnswer, ErrorCode::TooLarge, detail);
    }
}

void HttpClient::Impl::cancel(TransferId id)
{
    const auto found = transfers_.find(id);
    if (found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> transfer = std::move(found->second);
    transfers_.erase(found);
    answerMemory_.remove(id);
    transfer->timer_.cancel();
    if (const std::shared_ptr<Connection> connection = transfer->connection_.lock())
        connection->close();
}

void HttpClient::Impl::fail(Transfer &transfer, Step step, ErrorCode code, std::string detail)
{
    HttpResult result;
    result.state_ = transfer.state_;
    result.error_
        = Error { transfer.state_ == AttemptState::NotSent ? Step::Connect : step,
                  Peer { options_.peerKind_, transfer.request_.url_ }, code, std::move(detail) };
    finish(transfer, std::move(result));
}

void HttpClient::Impl::finish(Transfer &transfer, HttpResult result)
{
    const auto found = transfers_.find(transfer.id_);
    if (isClosed_ || found == transfers_.end())
        return;
    const std::shared_ptr<Transfer> finished = std::move(found->second);
    transfers_.erase(found);
    answerMemory_.remove(finished->id_);
    finished->timer_.cancel();
    result.elapsed_ = BootClock::now() - finished->startedAt_;
    result.isReused_ = finished->isReused_;
    result.connection_ = finished->connectionId_;
    finished->done_(std::move(result));
}

void HttpClient::Impl::close()
{
    isClosed_ = true;
    for (auto &[id, transfer] : transfers_)
        transfer->timer_.cancel();
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto &[name, peer] : peers_)
        open.insert(open.end(), peer.idleConnections_.begin(), peer.idleConnections_.end());
    for (const auto &[id, transfer] : transfers_) {
        if (auto connection = transfer->connection_.lock())
            open.push_back(std::move(connection));
    }
    transfers_.clear();
    for (const auto &connection : open)
        connection->close();
    peers_.clear();
}

HttpClient::HttpClient(const HttpClientOptions &options)
    : ownedLoop_(std::make_unique<EventLoop>(options.threadName_))
    , impl_(std::make_shared<Impl>(options, *ownedLoop_))
{ }

HttpClient::HttpClient(const HttpClientOptions &options, EventLoop &loop)
    : impl_(std::make_shared<Impl>(options, loop))
{ }

HttpClient::~HttpClient()
{
    if (ownedLoop_) {
        ownedLoop_->run([this] { impl_->close(); });
        ownedLoop_->stop();
        return;
    }
    impl_->post([impl = impl_] { impl->close(); });
}

void HttpClient::post(Task task)
{
    impl_->post(std::move(task));
}

HttpClient::TransferId HttpClient::start(HttpRequest request, Done done)
{
    return impl_->start(std::move(request), std::move(done));
}

void HttpClient::cancel(TransferId transfer)
{
    impl_->cancel(transfer);
}

std::size_t HttpClient::unfinishedBytes() const
{
    return impl_->unfinishedBytes();
}

void HttpClient::runAt(TimePoint at, Task task)
{
    impl_->runAt(at, std::move(task));
}

HttpResult HttpClient::fetch(HttpRequest request)
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
