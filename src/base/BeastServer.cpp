#include "src/base/BeastServer.h"

#include "src/base/BeastSession.h"

#include <algorithm>
#include <optional>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

namespace pimentostage {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr Duration kSweepPeriod = std::chrono::seconds(1); // between checks of the timeouts

} // namespace

void BeastServer::Worker::listen(const tcp::endpoint &endpoint)
{
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen(kListenBacklog);
}

void BeastServer::Worker::accept(std::vector<std::shared_ptr<Worker>> workers)
{
    allWorkers_ = std::move(workers);
    acceptNext();
}

void BeastServer::Worker::acceptNext()
{
    const std::shared_ptr<Worker> worker = allWorkers_[nextWorker_++ % allWorkers_.size()];
    acceptor_.async_accept(worker->context_, [self = shared_from_this(),
                                              worker](const error_code &error, tcp::socket socket) {
        if (!self->acceptor_.is_open())
            return;
        if (!error) {
            // From here on only the worker's thread uses the socket.
            auto shared = std::make_shared<tcp::socket>(std::move(socket));
            asio::dispatch(worker->context_, [worker, shared] { worker->add(std::move(*shared)); });
            self->acceptNext();
            return;
        }
        // Usually the process has run out of file descriptors. The delay avoids a busy loop.
        self->acceptRetryTimer_
            = std::make_unique<asio::steady_timer>(self->context_, kAcceptRetryDelay);
        self->acceptRetryTimer_->async_wait([self](const error_code &cancelled) {
            if (!cancelled && self->acceptor_.is_open())
                self->acceptNext();
        });
    });
}

void BeastServer::Worker::add(tcp::socket socket)
{
    const std::size_t limit
        = options_.maxConnections_ / static_cast<std::size_t>(options_.threads_);
    const bool isFull
        = options_.maxConnections_ > 0 && sessions_.size() >= std::max<std::size_t>(limit, 1);
    // The caller of a connection that is closed before a request was read may repeat each request.
    if (isFull && !closeLeastNeeded())
        return;
    const AnswerMemory::AnswerId id = ++lastSessionId_;
    auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), id);
    sessions_.emplace(id, session);
    activeConnections_.fetch_add(1, std::memory_order_relaxed);
    session->start();
    scheduleSweep();
}

void BeastServer::Worker::scheduleSweep()
{
    if (isSweepScheduled_ || sessions_.empty())
        return;
    isSweepScheduled_ = true;
    sweepTimer_.expires_after(kSweepPeriod);
    sweepTimer_.async_wait([self = shared_from_this()](const error_code &error) {
        self->isSweepScheduled_ = false;
        if (error)
            return;
        const TimePoint now = BootClock::now();
        for (const auto &session : self->openSessions())
            session->checkTimeouts(now);
        self->scheduleSweep();
    });
}

void BeastServer::Worker::closeIdle()
{
    const TimePoint now = BootClock::now();
    for (const auto &session : openSessions())
        session->closeIfIdle(now);
}

std::vector<std::shared_ptr<BeastServer::Session>> BeastServer::Worker::openSessions() const
{
    std::vector<std::shared_ptr<Session>> sessions;
    sessions.reserve(sessions_.size());
    for (const auto &[id, session] : sessions_)
        sessions.push_back(session);
    return sessions;
}

bool BeastServer::Worker::giveUpStalledRequest(std::size_t (Session::*memory)() const,
                                               std::size_t bytes)
{
    const TimePoint now = BootClock::now();
    std::shared_ptr<Session> largest;
    std::size_t largestBytes = bytes;
    for (const auto &[id, session] : sessions_) {
        const std::size_t unfinished = ((*session).*memory)();
        if (unfinished > largestBytes && session->isStalled(now)) {
            largest = session;
            largestBytes = unfinished;
        }
    }
    if (!largest)
        return false;
    largest->giveUpUnfinished();
    return true;
}

bool BeastServer::Worker::closeLeastNeeded()
{
    const TimePoint now = BootClock::now();
    std::shared_ptr<Session> leastNeeded;
    std::optional<Session::Disposability> first;
    for (const auto &[id, session] : sessions_) {
        const auto disposability = session->disposability(now);
        if (disposability && (!first || *disposability < *first)) {
            leastNeeded = session;
            first = disposability;
        }
    }
    if (!leastNeeded)
        return false;
    leastNeeded->close();
    return true;
}

void BeastServer::Worker::giveUpUnreadAnswers()
{
    while (const auto id = unread_.answerToGiveUp()) {
        options_.memory_->countRefusal(MemoryAccount::UnreadAnswers);
        unread_.remove(*id);
        const auto found = sessions_.find(*id);
        if (found == sessions_.end())
            continue;
        const std::shared_ptr<Session> session = found->second;
        session->close();
    }
}

void BeastServer::Worker::close()
{
    error_code ignored;
    acceptor_.close(ignored);
    if (acceptRetryTimer_)
        acceptRetryTimer_->cancel();
    sweepTimer_.cancel();
    allWorkers_.clear();
    for (const auto &session : openSessions())
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

leaf::result<void> BeastServer::start(const HttpServerOptions &given, HandlerFactory factory)
{
    HttpServerOptions options = given;
    if (!options.memory_)
        options.memory_ = std::make_shared<MemoryBudget>(defaultMemoryLimits());
    const auto bodyBudget = std::make_shared<ByteBudget>(options.maxBufferedBytes_, options.memory_,
                                                         MemoryAccount::CallerBodies);
    const std::size_t maxHeadBytes
        = ByteBudget::largeBytes(options.memory_->limit(MemoryAccount::CallerHeads));
    const auto headBudget
        = std::make_shared<ByteBudget>(maxHeadBytes, options.memory_, MemoryAccount::CallerHeads);
    const int threads = options.threads_ = sharedLoop_ ? 1 : options.threads_;
    const std::size_t accountLimit = options.memory_->limit(MemoryAccount::UnreadAnswers);
    const std::size_t unreadLimit = options.maxUnreadBytes_ > 0
                                        ? std::min(options.maxUnreadBytes_, accountLimit)
                                        : accountLimit;
    const std::size_t maxUnreadBytes = unreadLimit / static_cast<std::size_t>(threads);
    try {
        for (int i = 0; i < threads; ++i) {
            if (!sharedLoop_)
                ownLoops_.push_back(std::make_unique<EventLoop>(options.threadName_));
            EventLoop &loop = sharedLoop_ ? *sharedLoop_ : *ownLoops_.back();
            workers_.push_back(std::make_shared<Worker>(loop, options, factory(), halfClose_,
                                                        headBudget, bodyBudget, maxUnreadBytes));
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

std::size_t BeastServer::activeConnections() const
{
    std::size_t count = 0;
    for (const std::shared_ptr<Worker> &worker : workers_)
        count += worker->activeConnections_.load(std::memory_order_relaxed);
    return count;
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
