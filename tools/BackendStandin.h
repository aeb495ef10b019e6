#pragma once

#include "pimentostage/backend/ServerLease.h"
#include "pimentostage/base/Random.h"
#include "src/base/EventLoop.h"
#include "src/base/PistacheServer.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace pimentostage {

/// Configuration of a BackendStandin.
struct BackendStandinOptions
{
    std::string name_;
    std::string zone_;
    std::uint32_t slots_ = 6;
    std::uint32_t queueLimit_ = 12; ///< maximum number of waiting requests; 0 applies while cold
    Duration serviceTime_ = std::chrono::milliseconds(2); ///< mean service time of a request
    Duration coldTime_ {}; ///< time from start until all slots are usable
    std::size_t minAnswerBytes_ = 0; ///< of an answer's body, which is filled with blanks
    std::size_t maxRequestBytes_ = HttpServerOptions().maxRequestBytes_; ///< of one body
    bool checksFence_ = true; ///< whether requests for a unit need a valid grant
};

/// Faults that a BackendStandin injects.
struct BackendFaults
{
    double slowFactor_ = 1; ///< multiplies the service time
    std::int64_t crossAnswers_ = 0; ///< number of next answers to send with a wrong request id
    std::int64_t loseAnswers_ = 0; ///< number of next requests to run without sending an answer
    std::int64_t lateAnswers_ = 0; ///< number of next answers to delay
};

/// Counters of a BackendStandin, for the checks of the demo, tests and benches.
struct BackendReport
{
    std::uint64_t executed_ = 0;
    std::uint64_t duplicates_ = 0; ///< repeated executions of requests other than GET
    std::uint64_t shed_ = 0;
    std::uint64_t shedCold_ = 0; ///< shed during the cold start, for lack of usable slots
    std::uint64_t refusedFence_ = 0; ///< refused because no valid grant covered them
    std::uint64_t teamKeysSeen_ = 0; ///< requests that carried an Authorization header
    std::uint64_t pastDeadline_ = 0; ///< requests that reached their deadline before they finished
    std::uint32_t maxInFlight_ = 0;
};

/// A simulated backend server with a fixed number of slots, a cold start, load shedding and fenced
/// grants.
///
/// All state is confined to the EventLoop's thread.
class BackendStandin
{
public:
    explicit BackendStandin(const BackendStandinOptions &options);
    ~BackendStandin();

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const Address &address);
    void stop();

private:
    struct Exchange;
    struct Endpoint
    {
        const char *method_;
        const char *path_;
        void (BackendStandin::*handle_)(const std::shared_ptr<Exchange> &);
    };
    static const Endpoint kEndpoints[];

    void dispatch(const std::shared_ptr<Exchange> &exchange);
    void admit(const std::shared_ptr<Exchange> &exchange);
    void run(const std::shared_ptr<Exchange> &exchange);
    void finish(const std::shared_ptr<Exchange> &exchange);
    void startNext();
    void grant(const std::shared_ptr<Exchange> &exchange);
    void load(const std::shared_ptr<Exchange> &exchange);
    void report(const std::shared_ptr<Exchange> &exchange);
    void setFaults(const std::shared_ptr<Exchange> &exchange);
    void refuse(const std::shared_ptr<Exchange> &exchange, int status);
    void answer(const std::shared_ptr<Exchange> &exchange, int status, std::string body);
    void countExecution(const Exchange &exchange);
    [[nodiscard]] bool isCovered(const Exchange &exchange, TimePoint now) const;
    [[nodiscard]] std::uint32_t capacity(TimePoint now) const;
    [[nodiscard]] bool isCold(TimePoint now) const;
    [[nodiscard]] Duration drawServiceTime();

    const BackendStandinOptions options_;
    const Incarnation incarnation_;
    TimePoint coldSince_;
    ServerLease lease_;
    BackendFaults faults_;
    BackendReport report_;
    Random random_;
    std::uint32_t running_ = 0;
    std::map<UnitName, std::uint32_t> runningByUnit_;
    std::deque<std::shared_ptr<Exchange>> waiting_;
    std::set<std::string> executedIds_;
    std::vector<std::shared_ptr<Exchange>> unanswered_; ///< kept alive so that no answer is sent
    PistacheServer server_;
    EventLoop loop_ { "backend-state" };
};

} // namespace pimentostage
