#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/Abandonment.h"
#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/caller/ServedShares.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/sibling/LocalTokenBucket.h"
#include "src/backend/BackendClient.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <variant>

namespace pimentostage {

/// Tells the control thread what traffic needs of it. Called on traffic threads.
class ControlPort
{
public:
    virtual ~ControlPort() = default;
    /// Spenders of @p account wait for tokens.
    virtual void tokensWanted(const AccountName &account) = 0;
};

/// What a caller gets: a back end's answer or a refusal.
using CallerAnswer = std::variant<HttpAnswer, Refusal>;
using CallerDone = std::function<void(CallerAnswer)>;

/// Takes requests of callers through routing, admission and forwarding, free of any front end.
class CallerService
{
public:
    CallerService(const SnapshotPublisher<TrafficView> &views, BackendClient &backends,
                  ControlPort &control, LogSink &log, Counters &counters);

    /// One traffic thread's way in.
    class Entrance
    {
    public:
        explicit Entrance(CallerService &service);
        /// Handles @p request.
        /// @param abandonment tells when the caller leaves.
        /// @param done called once, on any thread.
        void handle(CallerRequest request, std::shared_ptr<Abandonment> abandonment,
                    CallerDone done);

    private:
        CallerService &service_;
        SnapshotReader<TrafficView> view_;
    };

    /// From now on refuses every new request, for a planned stop.
    void stopTaking() { stopping_.store(true, std::memory_order_release); }

    /// @return requests taken and not yet answered.
    [[nodiscard]] std::size_t inFlight() const { return inFlight_.load(std::memory_order_acquire); }

private:
    struct Pending;

    [[nodiscard]] static bool mayConnect(const Pending &pending);
    void admit(const std::shared_ptr<Pending> &pending);
    void forward(const std::shared_ptr<Pending> &pending);
    void refuse(const std::shared_ptr<Pending> &pending, Refusal refusal);
    static std::optional<Duration> retryAfter(const Pending &pending, const Refusal &refusal);
    void finish(const std::shared_ptr<Pending> &pending, CallerAnswer answer);
    void countShare(const Pending &pending, bool isAnswered, TimePoint now);

    const SnapshotPublisher<TrafficView> &views_;
    BackendClient &backends_;
    ControlPort &control_;
    LogSink &log_;
    std::atomic<std::size_t> inFlight_ { 0 };
    std::atomic<bool> stopping_ { false };
    Counter &requests_;
    Counter &answered_;
    std::array<Counter *, kEnumCount<RefusalReason>> refused_ {};
    DurationHistogram &latency_;
    Gauge &worstShare_;
    ServedShares shares_;
    std::atomic<Duration::rep> nextGauge_ { 0 };
};

} // namespace pimentostage
