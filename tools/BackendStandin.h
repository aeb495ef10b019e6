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

/// What a stand-in back end can do.
struct BackendStandinOptions
{
    std::string name_;
    std::string zone_;
    std::uint32_t slots_ = 6;
    std::uint32_t queue_ = 12; ///< requests that wait for a slot when warm
    Duration serviceTime_ = std::chrono::milliseconds(2); ///< mean time a request takes
    Duration coldTime_ {}; ///< time from start until all slots bear load
    bool checksFence_ = true;
};

/// How the stand-in misbehaves on purpose.
struct BackendFaults
{
    double slowFactor_ = 1; ///< multiplies the time a request takes
    std::int64_t crossAnswers_ = 0; ///< answers that carry another request's id
    std::int64_t loseAnswers_ = 0; ///< requests that run without an answer
    std::int64_t lateAnswers_ = 0; ///< answers sent after kLateDelay
};

/// What the stand-in has seen, for the checks of demo, tests and bench.
struct BackendReport
{
    std::uint64_t executed_ = 0;
    std::uint64_t duplicates_ = 0; ///< requests other than GET that ran more than once
    std::uint64_t shed_ = 0;
    std::uint64_t shedCold_ = 0; ///< shed while cold: more came than it bears
    std::uint64_t refusedFence_ = 0;
    std::uint64_t teamKeysSeen_ = 0;
    std::uint64_t pastDeadline_ = 0;
    std::uint32_t mostInFlight_ = 0;
};

/// A small stand-in for a backend server: slots, cold start, shedding, fenced grants.
///
/// All state belongs to one thread, the EventLoop's.
class BackendStandin
{
public:
    explicit BackendStandin(const BackendStandinOptions &options);
    ~BackendStandin();

    /// @return nothing, or an Error of step Listen.
    leaf::result<void> start(const Address &address);
    void stop();

private:
    struct Work;
    struct Row
    {
        const char *method_;
        const char *path_;
        void (BackendStandin::*handle_)(const std::shared_ptr<Work> &);
    };
    static const Row kRows[];

    void dispatch(const std::shared_ptr<Work> &work);
    void take(const std::shared_ptr<Work> &work);
    void run(const std::shared_ptr<Work> &work);
    void finish(const std::shared_ptr<Work> &work);
    void startNext();
    void grant(const std::shared_ptr<Work> &work);
    void load(const std::shared_ptr<Work> &work);
    void report(const std::shared_ptr<Work> &work);
    void setFaults(const std::shared_ptr<Work> &work);
    void refuse(const std::shared_ptr<Work> &work, int status);
    void answer(const std::shared_ptr<Work> &work, int status, std::string body);
    void countExecution(const Work &work);
    [[nodiscard]] bool isCovered(const Work &work, TimePoint now) const;
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
    std::deque<std::shared_ptr<Work>> waiting_;
    std::set<std::string> executedIds_;
    std::vector<std::shared_ptr<Work>> unanswered_; ///< held so that nothing is sent
    PistacheServer server_;
    EventLoop loop_ { "backend-state" };
};

} // namespace pimentostage
