#pragma once

#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Snapshot.h"
#include "pimentostage/caller/Abandonment.h"
#include "pimentostage/caller/AnsweredRatios.h"
#include "pimentostage/caller/RequestRouter.h"
#include "pimentostage/caller/TrafficView.h"
#include "pimentostage/sibling/LocalTokenBucket.h"
#include "src/backend/BackendClient.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <variant>

namespace pimentostage {

/// Reports the token demand of traffic to the control thread. Called on traffic threads.
class TokenDemandListener
{
public:
    virtual ~TokenDemandListener() = default;
    /// Called when a request has to wait for tokens of @p account.
    virtual void onTokensNeeded(const AccountName &account) = 0;
};

/// Result of a caller's request: a back end's answer or a refusal.
using CallerAnswer = std::variant<HttpAnswer, Refusal>;
using CallerDone = std::function<void(CallerAnswer)>;

/// Routes, admits and forwards callers' requests, independent of the front end.
class CallerService
{
public:
    CallerService(const SnapshotPublisher<TrafficView> &views, BackendClient &backends,
                  TokenDemandListener &demandListener, LogSink &log, MetricRegistry &metrics);

    /// Accepts the requests of one traffic thread.
    class RequestHandler
    {
    public:
        explicit RequestHandler(CallerService &service);
        /// Processes @p request.
        /// @param abandonment signals that the caller has disconnected.
        /// @param done called once with the result, on any thread.
        void handle(CallerRequest request, std::shared_ptr<Abandonment> abandonment,
                    CallerDone done);

    private:
        CallerService &service_;
        SnapshotReader<TrafficView> view_;
    };

    /// Records that a request is refused because the bodies of other requests use the memory for
    /// bodies.
    /// @param id given to the request, whose own id may not be known.
    /// @return the refusal. The request has not run.
    Refusal refuseBody(const RequestId &id);

    /// Refuses every new request from now on, for a planned stop.
    void stopAccepting() { stopping_.store(true, std::memory_order_release); }

    /// Refuses all running requests, for the end of a planned stop.
    void giveUpAll() { backends_.giveUpAll(); }

    /// @return the number of requests that were received and are not yet answered or refused.
    [[nodiscard]] std::size_t inFlight() const { return inFlight_.load(std::memory_order_acquire); }

private:
    struct PendingRequest;

    [[nodiscard]] static bool isWithinConnectionLimits(const PendingRequest &pending);
    void admit(const std::shared_ptr<PendingRequest> &pending);
    void forward(const std::shared_ptr<PendingRequest> &pending);
    void refuse(const std::shared_ptr<PendingRequest> &pending, Refusal refusal);
    static std::optional<Duration> retryAfter(const PendingRequest &pending,
                                              const Refusal &refusal);
    void finish(const std::shared_ptr<PendingRequest> &pending, CallerAnswer answer);
    void recordAnsweredRatio(const PendingRequest &pending, bool isAnswered, TimePoint now);

    const SnapshotPublisher<TrafficView> &views_;
    BackendClient &backends_;
    TokenDemandListener &demandListener_;
    LogSink &log_;
    std::atomic<std::size_t> inFlight_ { 0 };
    std::atomic<bool> stopping_ { false };
    Counter &requests_;
    Counter &answered_;
    std::array<Counter *, kEnumCount<RefusalReason>> refused_ {};
    DurationHistogram &latency_;
    Gauge &lowestAnsweredRatio_;
    AnsweredRatios answeredRatios_;
    std::atomic<Duration::rep> nextGaugeUpdate_ { 0 };
};

} // namespace pimentostage
