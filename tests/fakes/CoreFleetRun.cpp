#include "tests/fakes/CoreFleetParts.h"

namespace pimentostage {

using namespace std::chrono_literals;

ExecutionPolicy CoreFleet::Run::policy() const
{
    ExecutionPolicy policy;
    policy.idempotent_ = isIdempotent(routed_.route_->routeKind_);
    policy.waitsForOwner_ = !routed_.key_.empty();
    policy.deadline_ = routed_.deadline_;
    policy.hedgeAfter_ = 20ms;
    return policy;
}

void CoreFleet::Run::perform(const ExecutionActions &actions)
{
    for (const ExecutionAction &action : actions)
        std::visit([this](const auto &step) { perform(step); }, action);
}

void CoreFleet::Run::perform(const SendAttempt &send)
{
    const std::shared_ptr<const TrafficView> view
        = fleet_.injected_.usesNewestView(host_->index_) ? host_->views_.load() : view_;
    const auto routes = view->routing_->services_.find(work_.service_.str());
    BackendChoice choice;
    if (routes != view->routing_->services_.end()) {
        choice = BackendSelector::select(routes->second, { routed_.key_, {} }, {}, fleet_.random_,
                                         now());
    }
    if (!choice.candidate_) {
        perform(choice.isBusy_ ? execution_.onBusy(send.attempt_, now())
                               : execution_.onNoBackend(send.attempt_, now()));
        return;
    }
    auto attempt = std::make_shared<Attempt>();
    attempt->number_ = send.attempt_;
    attempt->backend_ = choice.candidate_->backend_.name_;
    attempt->stats_ = choice.candidate_->stats_;
    attempt->routerLease_ = routes->second.routerLease_;
    attempt->unit_ = choice.unit_;
    attempt->epoch_ = choice.epoch_;
    attempt->begunAt_ = now();
    const Duration connecting = std::chrono::milliseconds(fleet_.random_.below(30));
    fleet_.events_.after(connecting, [self = shared_from_this(), attempt] {
        self->fleet_.runAtHost(self->host_, [self, attempt] { self->sendFirstByte(attempt); });
    });
}

void CoreFleet::Run::perform(const WakeAt &wake)
{
    fleet_.events_.after(std::max<Duration>(1ms, wake.at_ - now()), [self = shared_from_this()] {
        self->fleet_.runAtHost(self->host_,
                               [self] { self->perform(self->execution_.onWake(self->now())); });
    });
}

void CoreFleet::Run::perform(const AwaitAdmission &)
{
    fleet_.events_.after(10ms, [self = shared_from_this()] {
        self->fleet_.runAtHost(self->host_,
                               [self] { self->perform(self->execution_.onAdmitted(self->now())); });
    });
}

void CoreFleet::Run::perform(const GiveUp &giveUp)
{
    if (giveUp.outcome_ != Outcome::NotRun)
        return;
    fleet_.oracle_.onReportedNotRun(work_.request_);
}

void CoreFleet::Run::sendFirstByte(const std::shared_ptr<Attempt> &attempt)
{
    const bool maySend = now() < routed_.deadline_
                         && (!attempt->routerLease_
                             || attempt->routerLease_->maySend(attempt->unit_, attempt->epoch_,
                                                               attempt->begunAt_, now()));
    if (!maySend) {
        end(attempt, AttemptState::NotSent, AttemptFailure::StaleEpoch);
        return;
    }
    auto work = std::make_shared<Work>(work_);
    work->unit_ = attempt->unit_;
    work->epoch_ = attempt->epoch_;
    work->duration_ = std::chrono::milliseconds(1 + fleet_.random_.below(60));
    // The request carries the time that remained when the owner was chosen; the back end counts it
    // from the arrival.
    work->deadline_
        = fleet_.events_.now() + kNetworkDelay + (routed_.deadline_ - attempt->begunAt_);
    const bool isLost = fleet_.random_.below(30) == 0;
    const bool isAnswerLost = fleet_.random_.below(30) == 0;
    if (!isLost) {
        fleet_.events_.after(
            kNetworkDelay, [self = shared_from_this(), work, attempt, isAnswerLost] {
                self->fleet_.beginWork(self->fleet_.find(attempt->backend_), work,
                                       [self, attempt, isAnswerLost](AttemptState state) {
                                           if (!isAnswerLost)
                                               self->onEnd(attempt, state);
                                       });
            });
    }
    const bool isBroken = fleet_.random_.below(30) == 0;
    if (isBroken) {
        fleet_.events_.after(5ms, [self = shared_from_this(), attempt] {
            self->fleet_.runAtHost(self->host_, [self, attempt] {
                self->end(attempt, AttemptState::Sent, AttemptFailure::Broken);
            });
        });
    }
    fleet_.events_.after(std::max<Duration>(1ms, routed_.deadline_ - now()),
                         [self = shared_from_this(), attempt] {
                             self->fleet_.runAtHost(self->host_, [self, attempt] {
                                 self->end(attempt, AttemptState::Sent, AttemptFailure::TimedOut);
                             });
                         });
}

void CoreFleet::Run::onEnd(const std::shared_ptr<Attempt> &attempt, AttemptState state)
{
    fleet_.events_.after(kNetworkDelay, [self = shared_from_this(), attempt, state] {
        self->fleet_.runAtHost(self->host_, [self, attempt, state] {
            self->end(attempt, state, AttemptFailure::StaleEpoch);
        });
    });
}

void CoreFleet::Run::end(const std::shared_ptr<Attempt> &attempt, AttemptState state,
                         AttemptFailure failure)
{
    if (attempt->isEnded_)
        return;
    attempt->isEnded_ = true;
    attempt->stats_->end();
    if (attempt->routerLease_)
        attempt->routerLease_->end(attempt->unit_, latestEndTime(state, routed_.deadline_, now()),
                                   now());
    const AttemptState assumed = fleet_.injected_.assumedState(state);
    if (assumed == AttemptState::Answered)
        perform(execution_.onAnswered(attempt->number_, now()));
    else
        perform(execution_.onFailed(attempt->number_, assumed, failure, now()));
}

} // namespace pimentostage
