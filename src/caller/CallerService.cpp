#include "src/caller/CallerService.h"

#include "pimentostage/caller/ConnectionLimits.h"

namespace pimentostage {

namespace {

// Another host takes the request at once.
constexpr Duration kRetryAfterStop = std::chrono::milliseconds(50);
constexpr Duration kRetryAfterOverRate = std::chrono::seconds(1);
// The part of its time that a caller may be asked to wait before it tries again.
constexpr int kRetryDivisor = 3;
constexpr Duration kGaugePeriod = std::chrono::seconds(1);

std::uint32_t priorityOf(const RoutedRequest &routed)
{
    const bool isTeams = routed.contract_ && routed.contract_->priority_;
    return isTeams ? *routed.contract_->priority_ : routed.route_->priority_;
}

// Takes all of the request but its id, which a refusal still needs.
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
    forward.idempotent_ = routed.route_->idempotent_;
    forward.deadline_ = routed.deadline_;
    return forward;
}

} // namespace

/// A request between its arrival and its answer.
struct CallerService::Pending
{
    CallerRequest request_;
    RoutedRequest routed_;
    std::shared_ptr<const TrafficView> view_; ///< keeps what routed_ points to
    TimePoint arrivedAt_;
    bool isAdmitted_ = false; ///< within its team's contract
    std::shared_ptr<Abandonment> abandonment_;
    CallerDone done_;
};

CallerService::CallerService(const SnapshotPublisher<TrafficView> &views, BackendClient &backends,
                             ControlPort &control, LogSink &log, Counters &counters)
    : views_(views)
    , backends_(backends)
    , control_(control)
    , log_(log)
    , requests_(counters.counter("pimento_caller_requests_total", "Requests taken from callers."))
    , answered_(counters.counter("pimento_caller_answered_total",
                                 "Requests answered with a back end's answer."))
    , latency_(counters.histogram("pimento_caller_latency_seconds",
                                  "Time from a request's arrival to its answer or refusal."))
    , worstShare_(counters.gauge(
          "pimento_worst_team_answered_ratio",
          "Part of its requests within contract that the worst-served team had answered lately."))
{
    worstShare_.set(1);
    for (const auto &row : EnumTable<RefusalReason>::kRows) {
        refused_.at(static_cast<std::size_t>(row.value_))
            = &counters.counter("pimento_caller_refused_total", "Requests refused, by reason.",
                                { Label { "reason", std::string(row.name_) } });
    }
}

CallerService::Entrance::Entrance(CallerService &service)
    : service_(service)
    , view_(service.views_)
{ }

void CallerService::Entrance::handle(CallerRequest request,
                                     std::shared_ptr<Abandonment> abandonment, CallerDone done)
{
    const TimePoint now = BootClock::now();
    service_.inFlight_.fetch_add(1, std::memory_order_acq_rel);
    service_.requests_.add();
    auto pending = std::make_shared<Pending>();
    pending->request_ = std::move(request);
    pending->view_ = view_.get();
    pending->arrivedAt_ = now;
    pending->abandonment_ = std::move(abandonment);
    pending->done_ = std::move(done);
    if (service_.stopping_.load(std::memory_order_acquire)) {
        service_.refuse(pending,
                        Refusal { RefusalReason::Stopping, Outcome::NotRun, kRetryAfterStop, {} });
        return;
    }
    RouteDecision decision = RequestRouter::route(*pending->view_, pending->request_, now);
    // The key has served its purpose; nothing behind this line may see it.
    pending->request_.teamKey_.reset();
    if (const auto *refusal = std::get_if<Refusal>(&decision)) {
        service_.refuse(pending, *refusal);
        return;
    }
    pending->routed_ = std::move(std::get<RoutedRequest>(decision));
    if (!mayConnect(*pending)) {
        service_.refuse(pending,
                        Refusal { RefusalReason::TooManyConnections, Outcome::NotRun, {}, {} });
        return;
    }
    service_.admit(pending);
}

bool CallerService::mayConnect(const Pending &pending)
{
    const std::shared_ptr<CallerConnection> &connection = pending.request_.connection_;
    if (!connection)
        return true;
    const Contract *contract = pending.routed_.contract_;
    return connection->isWithinLimit()
           && (!contract || connection->bind(contract->team_, contract->connections_));
}

void CallerService::admit(const std::shared_ptr<Pending> &pending)
{
    const Contract *contract = pending->routed_.contract_;
    if (!contract || !contract->isLimited_) {
        forward(pending);
        return;
    }
    const auto found = pending->view_->tokenBuckets_.find(contract->team_);
    if (found == pending->view_->tokenBuckets_.end()) {
        refuse(pending, Refusal { RefusalReason::NoContract, Outcome::NotRun, {}, {} });
        return;
    }
    const auto decided = [this, pending](SpendResult result) {
        if (result == SpendResult::Spent) {
            forward(pending);
            return;
        }
        const RefusalReason reason = result == SpendResult::Unavailable
                                         ? RefusalReason::AllowanceUnavailable
                                         : RefusalReason::OverRate;
        refuse(pending, Refusal { reason, Outcome::NotRun, kRetryAfterOverRate, {} });
    };
    LocalTokenBucket &purse = *found->second;
    const SpendResult result
        = purse.spend(pending->routed_.route_->weight_, BootClock::now(), decided);
    if (result == SpendResult::Waiting)
        control_.tokensWanted(purse.account());
    else
        decided(result);
}

void CallerService::forward(const std::shared_ptr<Pending> &pending)
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

// A caller that is told to come back later than it can wait does not come back.
std::optional<Duration> CallerService::retryAfter(const Pending &pending, const Refusal &refusal)
{
    if (!refusal.retryAfter_ || !pending.request_.budget_)
        return refusal.retryAfter_;
    const Duration spent = BootClock::now() - pending.arrivedAt_;
    const Duration left = std::max(Duration::zero(), *pending.request_.budget_ - spent);
    return std::min(*refusal.retryAfter_, left / kRetryDivisor);
}

void CallerService::refuse(const std::shared_ptr<Pending> &pending, Refusal refusal)
{
    refusal.retryAfter_ = retryAfter(*pending, refusal);
    refused_.at(static_cast<std::size_t>(refusal.reason_))->add();
    LogLine line(Severity::Info, "refuse");
    line.add("request", pending->request_.id_.str())
        .add("reason", toString(refusal.reason_))
        .add("outcome", toString(refusal.outcome_));
    if (pending->routed_.routes_)
        line.add("service", pending->routed_.routes_->service_.name_.str());
    if (pending->routed_.contract_)
        line.add("team", pending->routed_.contract_->team_.str());
    log_.write(line);
    finish(pending, refusal);
}

void CallerService::finish(const std::shared_ptr<Pending> &pending, CallerAnswer answer)
{
    const TimePoint now = BootClock::now();
    latency_.record(toSeconds(now - pending->arrivedAt_));
    countShare(*pending, std::holds_alternative<HttpAnswer>(answer), now);
    pending->done_(std::move(answer));
    inFlight_.fetch_sub(1, std::memory_order_acq_rel);
}

void CallerService::countShare(const Pending &pending, bool isAnswered, TimePoint now)
{
    if (!pending.isAdmitted_ || !pending.routed_.contract_)
        return;
    shares_.onEnd(pending.routed_.contract_->team_, pending.routed_.route_->weight_, isAnswered,
                  now);
    Duration::rep next = nextGauge_.load(std::memory_order_relaxed);
    const Duration::rep present = now.time_since_epoch().count();
    const bool isDue = present >= next
                       && nextGauge_.compare_exchange_strong(next, present + kGaugePeriod.count(),
                                                             std::memory_order_relaxed);
    if (!isDue)
        return;
    const auto worst = shares_.worst(now);
    worstShare_.set(worst ? worst->share_ : 1);
}

} // namespace pimentostage
