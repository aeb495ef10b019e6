#include "tests/fakes/RoomFleet.h"

#include <algorithm>
#include <cmath>

namespace pimentostage {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kSlots = 4;
constexpr std::size_t kQueue = 16;
constexpr double kMeanWork = 0.35; ///< s, at the usual speed
constexpr Duration kDelay = 1ms; ///< of the network, one way
constexpr Duration kPollPeriod = 10ms;
constexpr Duration kMaxWait = 375ms; ///< a quarter of an objective of 1,500 ms
constexpr const char *kService = "plain";
constexpr std::size_t kHotPart = 20; ///< one in so many owners is hot

Duration seconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

struct RoomFleet::Request
{
    TimePoint since_;
    double work_ = 0;
    std::size_t owner_ = 0; ///< index of the only back end, where each request has one
    TimePoint sentAt_ {};
};

struct RoomFleet::Worker
{
    double speed_ = 1;
    std::uint32_t running_ = 0;
    std::deque<std::pair<Host *, std::shared_ptr<Request>>> queue_;
    double worked_ = 0; ///< s
};

struct RoomFleet::Host
{
    std::size_t index_ = 0;
    RoutingTableBuilder builder_;
    std::shared_ptr<const RoutingTable> table_;
    RoomDigest digest_;
    /// Requests that wait for room, by owner; one queue if there are no owners.
    struct Queue
    {
        std::deque<std::shared_ptr<Request>> requests_;
        bool isPolling_ = false;
    };
    std::map<std::size_t, Queue> queues_;

    const ServiceRoutes &routes() const { return table_->services_.at(kService); }
    BackendStats &stats(std::size_t worker) const { return *routes().candidates_[worker].stats_; }
};

RoomFleet::RoomFleet(const RoomCase &roomCase)
    : case_(roomCase)
    , random_(roomCase.seed_)
{
    Configuration configuration;
    Service service;
    service.name_ = ServiceName(kService);
    service.balancing_ = Balancing::ExpectedTime;
    service.keyed_ = case_.hotOwners_ > 0;
    service.division_ = service.keyed_ ? KeyDivision::Ordered : service.division_;
    configuration.services_[service.name_] = service;
    double capacity = 0;
    for (std::size_t i = 0; i < case_.backends_; ++i) {
        workers_.push_back(std::make_unique<Worker>());
        workers_.back()->speed_
            = 0.5 + static_cast<double>(i) / static_cast<double>(case_.backends_ - 1);
        capacity += workers_.back()->speed_ * kSlots / kMeanWork;
        Backend backend;
        backend.name_ = BackendName(std::to_string(1000 + i));
        backend.service_ = service.name_;
        backend.slots_ = kSlots;
        backend.connections_ = 590;
        configuration.backends_[backend.name_] = backend;
        indexByNumber_[backendNumberOf(backend.name_.str())] = i;
    }
    rate_ = case_.load_ * capacity;
    for (std::size_t i = 0; i < case_.hosts_; ++i) {
        hosts_.push_back(std::make_unique<Host>());
        Host &host = *hosts_.back();
        host.index_ = i;
        FleetState fleet;
        fleet.entryHosts_ = case_.hosts_;
        fleet.router_ = Incarnation { i + 1 };
        fleet.sharesRoom_ = case_.mode_ == RoomMode::Shared;
        host.table_ = host.builder_.build(configuration, fleet, now());
    }
}

RoomFleet::~RoomFleet() = default;

RoomResult RoomFleet::run()
{
    arrive();
    for (std::size_t i = 0; case_.mode_ == RoomMode::Shared && i < hosts_.size(); ++i)
        events_.after(seconds(random_.unit() * toSeconds(case_.period_)), [this, i] { share(i); });
    events_.runUntil(case_.duration_, [] {});
    const double hostSeconds = static_cast<double>(case_.hosts_) * toSeconds(case_.duration_);
    result_.deltasPerHostSecond_ /= hostSeconds;
    result_.answered_ = times_.size();
    for (const double time : times_)
        result_.meanSeconds_ += time / static_cast<double>(times_.size());
    std::sort(times_.begin(), times_.end());
    result_.p99Seconds_ = times_[times_.size() * 99 / 100];
    result_.meanWaitSeconds_ = waits_ / static_cast<double>(times_.size());
    double total = 0;
    double busiest = 0;
    for (const auto &worker : workers_) {
        total += worker->worked_;
        busiest = std::max(busiest, worker->worked_);
    }
    result_.busiestOverMean_ = busiest / (total / static_cast<double>(workers_.size()));
    return result_;
}

void RoomFleet::arrive()
{
    const double gap = std::exponential_distribution<double>(rate_)(random_.engine());
    events_.after(seconds(gap), [this] {
        ++result_.arrivals_;
        Host &host = *hosts_[random_.below(hosts_.size())];
        auto request = std::make_shared<Request>();
        request->since_ = now();
        request->work_ = std::exponential_distribution<double>(1 / kMeanWork)(random_.engine());
        request->owner_ = case_.hotOwners_ > 0 ? drawOwner() : 0;
        trySend(host, request, false);
        arrive();
    });
}

std::size_t RoomFleet::drawOwner()
{
    const std::size_t hot = workers_.size() / kHotPart;
    const double hotWeight = case_.hotOwners_ * static_cast<double>(hot);
    const auto others = static_cast<double>(workers_.size() - hot);
    // The hot ones are spread over all speeds.
    if (random_.unit() * (hotWeight + others) < hotWeight)
        return random_.below(hot) * kHotPart;
    std::size_t owner = 0;
    do
        owner = random_.below(workers_.size());
    while (owner % kHotPart == 0 && owner / kHotPart < hot);
    return owner;
}

BackendChoice RoomFleet::choose(Host &host, const Request &request)
{
    if (case_.hotOwners_ == 0)
        return BackendSelector::select(host.routes(), { "", {} }, {}, random_, now());
    BackendChoice choice;
    const Candidate &owner = host.routes().candidates_[request.owner_];
    if (owner.tryBegin(now()))
        choice.candidate_ = &owner;
    return choice;
}

void RoomFleet::trySend(Host &host, const std::shared_ptr<Request> &request, bool isQueued)
{
    Host::Queue &queue = host.queues_[request->owner_];
    BackendChoice choice;
    if (isQueued || queue.requests_.empty())
        choice = choose(host, *request);
    if (!choice.candidate_) {
        queue.requests_.insert(isQueued ? queue.requests_.begin() : queue.requests_.end(), request);
        if (!queue.isPolling_) {
            queue.isPolling_ = true;
            events_.after(kPollPeriod,
                          [this, &host, owner = request->owner_] { poll(host, owner); });
        }
        return;
    }
    request->sentAt_ = now();
    waits_ += toSeconds(now() - request->since_);
    const auto worker
        = static_cast<std::size_t>(choice.candidate_ - host.routes().candidates_.data());
    events_.after(kDelay, [this, &host, worker, request] { reach(host, worker, request); });
    if (isQueued)
        sendNext(host, request->owner_);
}

void RoomFleet::sendNext(Host &host, std::size_t queue)
{
    std::deque<std::shared_ptr<Request>> &requests = host.queues_[queue].requests_;
    if (requests.empty())
        return;
    const auto next = requests.front();
    requests.pop_front();
    trySend(host, next, true);
}

void RoomFleet::poll(Host &host, std::size_t index)
{
    Host::Queue &queue = host.queues_[index];
    std::deque<std::shared_ptr<Request>> &requests = queue.requests_;
    while (!requests.empty() && now() - requests.front()->since_ >= kMaxWait) {
        requests.pop_front();
        ++result_.refused_;
        result_.refusedWithRoom_ += hasRoom(index) ? 1 : 0;
    }
    queue.isPolling_ = !requests.empty();
    if (!queue.isPolling_)
        return;
    events_.after(kPollPeriod, [this, &host, index] { poll(host, index); });
    sendNext(host, index);
}

void RoomFleet::reach(Host &host, std::size_t index, const std::shared_ptr<Request> &request)
{
    Worker &worker = *workers_[index];
    if (worker.running_ < kSlots) {
        work(index, host, request);
    } else if (worker.queue_.size() < kQueue) {
        worker.queue_.emplace_back(&host, request);
    } else {
        ++result_.rejected_;
        events_.after(kDelay, [this, &host, index] {
            BackendStats &stats = host.stats(index);
            const std::uint32_t inFlight = stats.inFlight();
            stats.end();
            if (case_.mode_ == RoomMode::Undistinguished) {
                stats.onFailure(now());
                return;
            }
            stats.concurrency().onShed(inFlight, now());
            stats.onFull(now());
        });
    }
}

void RoomFleet::work(std::size_t index, Host &host, const std::shared_ptr<Request> &request)
{
    Worker &worker = *workers_[index];
    ++worker.running_;
    const double time = request->work_ / worker.speed_;
    worker.worked_ += time;
    events_.after(seconds(time), [this, index, &host, request] { finish(index, host, request); });
}

void RoomFleet::finish(std::size_t index, Host &host, const std::shared_ptr<Request> &request)
{
    Worker &worker = *workers_[index];
    --worker.running_;
    if (!worker.queue_.empty()) {
        const auto [nextHost, next] = worker.queue_.front();
        worker.queue_.pop_front();
        work(index, *nextHost, next);
    }
    const LoadReport report { worker.running_, static_cast<std::uint32_t>(worker.queue_.size()),
                              1 / worker.speed_ };
    events_.after(kDelay, [this, index, &host, request, report] {
        BackendStats &stats = host.stats(index);
        stats.concurrency().onAnswer(stats.inFlight());
        stats.end();
        stats.onLoadReport(report, now());
        stats.onAnswer(now() - request->sentAt_, now());
        times_.push_back(toSeconds(now() - request->since_));
        sendNext(host, request->owner_);
    });
}

void RoomFleet::share(std::size_t index)
{
    events_.after(case_.period_, [this, index] { share(index); });
    if (events_.now() >= case_.reportersGoneAt_)
        return;
    Host &host = *hosts_[index];
    for (const Candidate &candidate : host.routes().candidates_) {
        const RoomObservation newest = candidate.stats_->room().newest();
        if (newest.at_ != TimePoint {})
            host.digest_.add(backendNumberOf(candidate.backend_.name_.str()), newest);
    }
    const std::vector<RoomDelta> deltas = host.digest_.take(case_.deltasPerMessage_, now());
    for (std::size_t i = 0; i < case_.receivers_; ++i) {
        const std::size_t to = random_.below(hosts_.size());
        const auto isApart = [this](std::size_t host) {
            return static_cast<double>(host)
                   < case_.partitioned_ * static_cast<double>(hosts_.size());
        };
        result_.deltasPerHostSecond_ += static_cast<double>(deltas.size());
        if (to == index || isApart(to) != isApart(index))
            continue;
        events_.after(kDelay, [this, to, deltas] {
            Host &receiver = *hosts_[to];
            receiver.builder_.onRoomReport(now());
            for (const RoomDelta &delta : deltas) {
                const RoomObservation observation = RoomDigest::observationOf(delta, now());
                if (receiver.digest_.addReceived(delta.backend_, observation))
                    receiver.stats(indexByNumber_.at(delta.backend_))
                        .room()
                        .onObservation(observation);
            }
        });
    }
}

bool RoomFleet::hasRoom(std::size_t owner) const
{
    const auto isFree = [](const auto &worker) { return worker->running_ < kSlots; };
    if (case_.hotOwners_ > 0)
        return isFree(workers_[owner]);
    const auto free = std::count_if(workers_.begin(), workers_.end(), isFree);
    return static_cast<std::size_t>(free) * 2 > workers_.size();
}

} // namespace pimentostage
