#pragma once

#include "src/backend/BackendProtocol.h"
#include "src/backend/BackendWorker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// One request being processed; performs the actions of its RequestExecution.
class BackendClient::Worker::ActiveRequest : public std::enable_shared_from_this<ActiveRequest>
{
public:
    ActiveRequest(Worker &worker, ForwardRequest request, ForwardDone done)
        : worker_(worker)
        , request_(std::move(request))
        , done_(std::move(done))
        , route_(worker.routeState(request_))
        , execution_(policy(), worker.budgets(request_).retries_, worker.budgets(request_).hedges_)
    { }

    void start(const std::shared_ptr<Abandonment> &abandonment);

    void onHostStopping() { perform(execution_.onHostStopping()); }

private:
    struct InFlightAttempt
    {
        HttpClient::TransferId transfer_ = 0;
        std::shared_ptr<BackendStats> stats_;
        BackendName backend_;
        std::shared_ptr<RouterLease> routerLease_; ///< nullptr if the back end checks fences itself
        UnitName unit_;
        std::uint32_t slots_ = 0;
        std::shared_ptr<AdmissionQueue> queue_;
        std::shared_ptr<RolloutTraffic> rollout_; ///< nullptr unless a roll-out runs
        bool isTarget_ = false; ///< sent to the version that is rolled out
        bool isCold_ = false; ///< the back end was cold when the attempt was sent
        TimePoint sentAt_ {};
    };

    ExecutionPolicy policy() const;

    std::optional<Duration> hedgeDelay() const;

    bool hasTarget() const { return request_.target_ > Duration::zero(); }

    void perform(const ExecutionActions &actions);

    void perform(const SendAttempt &send);

    std::string queueName(const ServiceRoutes &routes) const;

    void recordAdmission(TimePoint now);

    void perform(const AwaitAdmission &);

    WaitingRequest waitingRequest(TimePoint now) const;

    /// Adds what an AdmissionOrder compares.
    void describeForOrder(WaitingRequest &waiting) const;

    /// Ends a wait for admission that the queue refused.
    void refuseAdmission(TimePoint now);

    void onAdmission(Admission admission, const WaitingRequest &request);

    void dispatch(const SendAttempt &send, const BackendChoice &choice, const ServiceRoutes &routes,
                  TimePoint now);

    void perform(const CancelAttempt &cancel);

    void perform(const WakeAt &wake);

    void perform(const DeliverAnswer &) { done_(std::move(answer_)); }

    void perform(const GiveUp &giveUp);

    void onResult(AttemptNumber attempt, HttpResult result);

    void end(const InFlightAttempt &inFlight, AttemptState state, TimePoint now) const;

    /// Records the attempt's outcome for the roll-out of its service, if one runs.
    void recordOutcome(const InFlightAttempt &inFlight, bool isFailed, TimePoint now) const;

    static void updateConcurrencyLimit(const InFlightAttempt &inFlight,
                                       const AttemptResult &attemptResult, TimePoint now);

    void updateWarmup(const InFlightAttempt &inFlight, const AttemptResult &attemptResult,
                      TimePoint now);

    /// @return whether another process than the addressed one answered at its address.
    [[nodiscard]] bool isFromOtherInstance(const AttemptResult &attemptResult) const;

    void countFailure(BackendStats &stats, const AttemptResult &attemptResult, TimePoint now);

    void logChoice(const SendAttempt &send, const BackendChoice &choice);

    const char *reasonOf(const SendAttempt &send) const;

    void logAnswer(AttemptNumber attempt, const BackendName &backend,
                   const AttemptResult &attemptResult, const HttpResult &result);

    void logFailure(AttemptNumber attempt, const BackendName &backend,
                    const AttemptResult &attemptResult, const HttpResult &result);

    Worker &worker_;
    const ForwardRequest request_;
    const ForwardDone done_;
    RouteState &route_;
    RequestExecution execution_;
    std::vector<BackendName> tried_;
    std::vector<ConnectionId> usedConnections_; ///< those of attempts that have ended
    std::shared_ptr<AdmissionQueue> queue_; ///< queue of the last attempt
    std::optional<WaitingRequest> queueEntry_; ///< entry in entryQueue_, set on admission
    std::shared_ptr<AdmissionQueue> entryQueue_;
    bool isCounted_ = false; ///< among the requests of its service's roll-out
    std::optional<AdmissionRefusal> admissionRefusal_; ///< set if the queue refused
    bool isAdmitted_ = false; ///< admitted by the queue and not yet sent
    std::map<AttemptNumber, InFlightAttempt> inFlight_;
    HttpAnswer answer_;
};

} // namespace pimentostage
