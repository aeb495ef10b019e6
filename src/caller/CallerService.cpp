#include "src/caller/CallerService.h"

#include "pimentostage/caller/ConnectionLimits.h"
#include "pimentostage/platform/Generation.h"

namespace pimentostage {

namespace {

// Another host can serve the request at once.
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kOverRateRetryAfter = std::chrono::seconds(1);
// A caller is asked to wait at most its remaining time divided by this before it retries.
constexpr int kRetryAfterDivisor = 3;
// As for other refusals because of overload (Refusal.cpp).
constexpr Duration kBodyRetryAfter = std::chrono::seconds(1);
constexpr Duration kGaugeUpdatePeriod = std::chrono::seconds(1);

std::uint32_t priorityOf(const RoutedRequest &routed)
{
    const bool hasContractPriority = routed.contract_ && routed.contract_->priority_;
    return hasContractPriority ? *routed.contract_->priority_ : routed.route_->priority_;
}

// Moves from the request what the forwarded one needs. The id is copied, because a refusal needs it
// later.
ForwardRequest forwardRequest(CallerRequest &request, const RoutedRequest &routed)
{
    ForwardRequest forward;
    forward.id_ = request.id_;
    forward.service_ = routed.routes_->service_.name_;
    forward.host_ = request.host_;
    forward.route_ = routed.route_->name_;
    if (routed.contract_) {
        forward.team_ = routed.contract_->team_;
        forward.share_ = routed.contract_->share_;
    }
    forward.priority_ = priorityOf(routed);
    forward.maxAttempts_ = routed.route_->maxAttempts_;
    forward.target_ = routed.route_->target_;
    forward.cost_ = routed.route_->weight_;
    forward.key_ = routed.key_;
    forward.orderedKey_ = routed.orderedKey_;
    forward.method_ = std::move(request.method_);
    forward.path_ = routed.backendPath_;
    forward.headers_ = std::move(request.headers_);
    forward.body_ = std::move(request.body_);
    forward.idempotent_ = isIdempotent(routed.route_->routeKind_);
    forward.deadline_ = routed.deadline_;
    return forward;
}

/// Adds to @p line what the host knew of the configuration when it decided at @p now.
void addConfiguration(const TrafficView &view, TimePoint now, LogLine &line)
{
    const Version revision = view.configuration_->revision_;
    line.add("config", toString(view.configKnowledge(now)))
        .add("config_generation", generationOf(revision).value_)
        .add("config_revision", revisionOf(revision));
    if (view.configuration_->hasCatalogue_)
        line.add("catalogue_revision", revisionOf(view.configuration_->catalogueVersion_));
    if (const auto age = view.configValidity_->age(now))
        line.add("config_age_ms", static_cast<std::int64_t>(toMilliseconds(*age)));
}

/// Adds to @p line what the queue knew that refused the request.
void addAdmission(const AdmissionRefusal &admission, LogLine &line)
{
    line.add("rule", toString(admission.rule_)).add("queue", admission.queue_);
    if (admission.expectedWait_)
        line.add("expected_wait_ms", toMilliseconds(*admission.expectedWait_));
}

} // namespace

/// A request that has arrived and is not yet answered or refused.
struct CallerService::PendingRequest
{
    CallerRequest request_;
    RoutedRequest routed_;
    std::shared_ptr<const TrafficView> view_; ///< keeps the objects alive that routed_ points to
    TimePoint arrivedAt_;
    bool isAdmitted_ = false; ///< within its team's contract
    std::shared_ptr<Abandonment> abandonment_;
    CallerDone done_;
};

CallerService::CallerService(const SnapshotPublisher<TrafficView> &views, BackendClient &backends,
                             TokenDemandListener &demandListener, LogSink &log,
                             MetricRegistry &metrics)
    : views_(views)
    , backends_(backends)
    , demandListener_(demandListener)
    , log_(log)
    , requests_(metrics.counter("pimento_caller_requests_total", "Requests taken from callers."))
    , answered_(metrics.counter("pimento_caller_answered_total",
                                "Requests answered with a back end's answer."))
    , latency_(metrics.histogram("pimento_caller_latency_seconds",
                                 "Time from a request's arrival to its answer or refusal."))
    , lowestAnsweredRatio_(metrics.gauge(
          "pimento_worst_team_answered_ratio",
          "Part of its requests within contract that the worst-served team had answered lately."))
{
    lowestAnsweredRatio_.set(1);
    for (const auto &row : EnumTable<RefusalReason>::kRows) {
        refused_.at(static_cast<std::size_t>(row.value_))
            = &metrics.counter("pimento_caller_refused_total", "Requests refused, by reason.",
                               { Label { "reason", std::string(row.name_) } });
    }
}

CallerService::RequestHandler::RequestHandler(CallerService &service)
    : service_(service)
    , view_(service.views_)
{ }

void CallerService::RequestHandler::handle(CallerRequest request,
                                           std::shared_ptr<Abandonment> abandonment,
                                           CallerDone done)
{
    const TimePoint now = BootClock::now();
    service_.inFlight_.fetch_add(1, std::memory_order_acq_rel);
    service_.requests_.add();
    auto pending = std::make_shared<PendingRequest>();
    pending->request_ = std::move(request);
    pending->view_ = view_.get();
    pending->arrivedAt_ = now;
    pending->abandonment_ = std::move(abandonment);
    pending->done_ = std::move(done);
    if (service_.stopping_.load(std::memory_order_acquire)) {
        service_.refuse(
            pending, Refusal { RefusalReason::Stopping, Outcome::NotRun, kStoppingRetryAfter, {} });
        return;
    }
    RouteDecision decision = RequestRouter::route(*pending->view_, pending->request_, now);
    // The key was only needed for authentication. It is erased so that no later step can log or
    // forward it.
    pending->request_.teamKey_.reset();
    if (const auto *refusal = std::get_if<Refusal>(&decision)) {
        service_.refuse(pending, *refusal);
        return;
    }
    pending->routed_ = std::move(std::get<RoutedRequest>(decision));
    if (!isWithinConnectionLimits(*pending)) {
        service_.refuse(pending,
                        Refusal { RefusalReason::TooManyConnections, Outcome::NotRun, {}, {} });
        return;
    }
    service_.admit(pending);
}

Refusal CallerService::refuseBody(const RequestId &id)
{
    Refusal refusal { RefusalReason::Overloaded, Outcome::NotRun, kBodyRetryAfter,
                      "the bodies of other requests use the memory for bodies" };
    requests_.add();
    refused_.at(static_cast<std::size_t>(refusal.reason_))->add();
    log_.write(LogLine(Severity::Info, "refuse")
                   .add("request", id.str())
                   .add("reason", toString(refusal.reason_))
                   .add("outcome", toString(refusal.outcome_))
                   .add("detail", refusal.detail_));
    return refusal;
}

bool CallerService::isWithinConnectionLimits(const PendingRequest &pending)
{
    const std::shared_ptr<CallerConnection> &connection = pending.request_.connection_;
    if (!connection)
        return true;
    const Contract *contract = pending.routed_.contract_;
    return connection->isWithinLimit()
           && (!contract || connection->bind(contract->team_, contract->connections_));
}

void CallerService::admit(const std::shared_ptr<PendingRequest> &pending)
{
    const Contract *contract = pending->routed_.contract_;
    if (!contract || !contract->isLimited_) {
        forward(pending);
        return;
    }
    const auto found = pending->view_->tokenBuckets_.find(contract->team_);
    if (found == pending->view_->tokenBuckets_.end()) {
        // The contract is in force; only this host has not prepared for it yet.
        refuse(pending,
               Refusal {
                   RefusalReason::AllowanceUnavailable, Outcome::NotRun, kOverRateRetryAfter, {} });
        return;
    }
    const auto onSpendResult = [this, pending](SpendResult result) {
        if (result == SpendResult::Spent) {
            forward(pending);
            return;
        }
        const RefusalReason reason = result == SpendResult::Unavailable
                                         ? RefusalReason::AllowanceUnavailable
                                         : RefusalReason::OverRate;
        refuse(pending, Refusal { reason, Outcome::NotRun, kOverRateRetryAfter, {} });
    };
    LocalTokenBucket &tokenBucket = *found->second;
    const SpendResult result
        = tokenBucket.spend(pending->routed_.route_->weight_, BootClock::now(), onSpendResult);
    if (result == SpendResult::Waiting)
        demandListener_.onTokensNeeded(tokenBucket.account());
    else
        onSpendResult(result);
}

void CallerService::forward(const std::shared_ptr<PendingRequest> &pending)
{
    pending->isAdmitted_ = true;
    backends_.forward(forwardRequest(pending->request_, pending->routed_), pending->abandonment_,
                      [this, pending](ForwardResult result) {
                          if (const auto *giveUp = std::get_if<GiveUp>(&result)) {
                              refuse(pending, refusalFor(*giveUp));
                              return;
                          }
                          answered_.add();
                          finish(pending, std::move(std::get<HttpAnswer>(result)));
                      });
}

// A caller whose own time limit ends before the proposed delay would not retry at all.
std::optional<Duration> CallerService::retryAfter(const PendingRequest &pending,
                                                  const Refusal &refusal)
{
    if (!refusal.retryAfter_ || !pending.request_.budget_)
        return refusal.retryAfter_;
    const Duration spent = BootClock::now() - pending.arrivedAt_;
    const Duration left = std::max(Duration::zero(), *pending.request_.budget_ - spent);
    return std::min(*refusal.retryAfter_, left / kRetryAfterDivisor);
}

void CallerService::refuse(const std::shared_ptr<PendingRequest> &pending, Refusal refusal)
{
    refusal.retryAfter_ = retryAfter(*pending, refusal);
    refused_.at(static_cast<std::size_t>(refusal.reason_))->add();
    LogLine line(Severity::Info, "refuse");
    line.add("request", pending->request_.id_.str())
        .add("reason", toString(refusal.reason_))
        .add("outcome", toString(refusal.outcome_));
    if (refusal.replaced_)
        line.add("replaces", toString(*refusal.replaced_));
    if (basisOf(refusal.reason_) == RefusalBasis::Configuration)
        addConfiguration(*pending->view_, pending->arrivedAt_, line);
    if (refusal.admission_)
        addAdmission(*refusal.admission_, line);
    if (pending->routed_.routes_)
        line.add("service", pending->routed_.routes_->service_.name_.str());
    if (pending->routed_.contract_)
        line.add("team", pending->routed_.contract_->team_.str());
    log_.write(line);
    finish(pending, refusal);
}

void CallerService::finish(const std::shared_ptr<PendingRequest> &pending, CallerAnswer answer)
{
    const TimePoint now = BootClock::now();
    latency_.record(toSeconds(now - pending->arrivedAt_));
    recordAnsweredRatio(*pending, std::holds_alternative<HttpAnswer>(answer), now);
    pending->done_(std::move(answer));
    inFlight_.fetch_sub(1, std::memory_order_acq_rel);
}

void CallerService::recordAnsweredRatio(const PendingRequest &pending, bool isAnswered,
                                        TimePoint now)
{
    if (!pending.isAdmitted_ || !pending.routed_.contract_)
        return;
    answeredRatios_.onRequestFinished(pending.routed_.contract_->team_,
                                      pending.routed_.route_->weight_, isAnswered, now);
    Duration::rep next = nextGaugeUpdate_.load(std::memory_order_relaxed);
    const Duration::rep nowTicks = now.time_since_epoch().count();
    const bool isDue = nowTicks >= next
                       && nextGaugeUpdate_.compare_exchange_strong(
                           next, nowTicks + kGaugeUpdatePeriod.count(), std::memory_order_relaxed);
    if (!isDue)
        return;
    const auto lowest = answeredRatios_.lowest(now);
    lowestAnsweredRatio_.set(lowest ? lowest->ratio_ : 1);
}

} // namespace pimentostage
