#pragma once

#include "src/backend/BackendProtocol.h"
#include "src/backend/BackendWorker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// One request on its way; performs what its RequestExecution decides.
class BackendClient::Worker::Run : public std::enable_shared_from_this<Run>
{
public:
    Run(Worker &worker, ForwardRequest request, ForwardDone done)
        : worker_(worker)
        , request_(std::move(request))
        , done_(std::move(done))
        , route_(worker.routeState(request_))
        , execution_(policy(), worker.budgets(request_).retries_, worker.budgets(request_).hedges_)
    { }

    void start(const std::shared_ptr<Abandonment> &abandonment);

private:
    struct InFlight
    {
        HttpLoop::TransferId transfer_ = 0;
        std::shared_ptr<BackendStats> stats_;
        BackendName backend_;
        std::shared_ptr<RoutingFence> fence_; ///< nullptr if the back end checks the fence
        UnitName unit_;
        std::uint32_t slots_ = 0;
        std::shared_ptr<AdmissionQueue> queue_;
    };

    ExecutionPolicy policy() const;

    std::optional<Duration> hedgeDelay() const;

    bool hasTarget() const { return request_.target_ > Duration::zero(); }

    void perform(const ExecutionActions &actions);

    void perform(const SendAttempt &send);

    std::string queueName(const ServiceRoutes &routes) const;

    void noteAdmission(TimePoint now);

    void perform(const AwaitRoom &);

    WaitingRequest waitingRequest(TimePoint now) const;

    void onAdmission(Admission admission, const WaitingRequest &request);

    void dispatch(const SendAttempt &send, const BackendChoice &choice, const ServiceRoutes &routes,
                  TimePoint now);

    void perform(const CancelAttempt &cancel);

    void perform(const WakeAt &wake);

    void perform(const DeliverAnswer &) { done_(std::move(answer_)); }

    void perform(const GiveUp &giveUp) { done_(giveUp); }

    void onResult(AttemptNumber attempt, HttpResult result);

    void end(const InFlight &flight, AttemptState state, TimePoint now) const;

    static void learnLimit(const InFlight &flight, const AttemptVerdict &verdict, TimePoint now);

    void noteWarmth(const InFlight &flight, const AttemptVerdict &verdict, TimePoint now);

    void countFailure(BackendStats &stats, AttemptFailure failure, TimePoint now);

    void logChoice(const SendAttempt &send, const BackendChoice &choice);

    const char *reasonOf(const SendAttempt &send) const;

    void logAnswer(AttemptNumber attempt, const BackendName &backend, const AttemptVerdict &verdict,
                   const HttpResult &result);

    void logFailure(AttemptNumber attempt, const BackendName &backend,
                    const AttemptVerdict &verdict, const HttpResult &result);

    Worker &worker_;
    const ForwardRequest request_;
    const ForwardDone done_;
    RouteState &route_;
    RequestExecution execution_;
    std::vector<BackendName> tried_;
    std::shared_ptr<AdmissionQueue> queue_; ///< of the attempt made last
    std::optional<WaitingRequest> place_; ///< in placeQueue_, once its turn has come
    std::shared_ptr<AdmissionQueue> placeQueue_;
    bool isAdmitted_ = false; ///< its turn has come and it is not sent yet
    std::map<AttemptNumber, InFlight> inFlight_;
    HttpAnswer answer_;
};

} // namespace pimentostage
