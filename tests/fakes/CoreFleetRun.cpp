#include "tests/fakes/CoreFleetParts.h"

namespace pimentostage {

using namespace std::chrono_literals;

ExecutionPolicy CoreFleet::Run::policy() const
{
    ExecutionPolicy policy;
    policy.idempotent_ = routed_.route_->idempotent_;
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
    auto flight = std::make_shared<Flight>();
    flight->attempt_ = send.attempt_;
    flight->backend_ = choice.candidate_->backend_.name_;
    flight->stats_ = choice.candidate_->stats_;
    flight->fence_ = routes->second.fence_;
    flight->unit_ = choice.unit_;
    flight->epoch_ = choice.epoch_;
    flight->begunAt_ = now();
    const Duration connecting = std::chrono::milliseconds(fleet_.random_.below(30));
    fleet_.events_.after(connecting, [self = shared_from_this(), flight] {
        self->fleet_.atHost(self->host_, [self, flight] { self->sendFirstByte(flight); });
    });
}

void CoreFleet::Run::perform(const WakeAt &wake)
{
    fleet_.events_.after(std::max<Duration>(1ms, wake.at_ - now()), [self = shared_from_this()] {
        self->fleet_.atHost(self->host_,
                            [self] { self->perform(self->execution_.onWake(self->now())); });
    });
}

void CoreFleet::Run::perform(const AwaitRoom &)
{
    fleet_.events_.after(10ms, [self = shared_from_this()] {
        self->fleet_.atHost(self->host_,
                            [self] { self->perform(self->execution_.onRoom(self->now())); });
    });
}

void CoreFleet::Run::perform(const GiveUp &giveUp)
{
    if (giveUp.outcome_ != Outcome::NotRun)
        return;
    fleet_.oracle_.onToldNotRun(work_.request_);
}

void CoreFleet::Run::sendFirstByte(const std::shared_ptr<Flight> &flight)
{
    const bool maySend
        = now() < routed_.deadline_
          && (!flight->fence_
              || flight->fence_->maySend(flight->unit_, flight->epoch_, flight->begunAt_, now()));
    if (!maySend) {
        end(flight, AttemptState::NotSent, AttemptFailure::StaleEpoch);
        return;
    }
    auto work = std::make_shared<Work>(work_);
    work->unit_ = flight->unit_;
    work->epoch_ = flight->epoch_;
    work->length_ = std::chrono::milliseconds(1 + fleet_.random_.below(60));
    // The back end counts from the arrival; the time was written when the owner was chosen.
    work->deadline_ = fleet_.events_.now() + kNetworkDelay + (routed_.deadline_ - flight->begunAt_);
    const bool isLost = fleet_.random_.below(30) == 0;
    const bool isAnswerLost = fleet_.random_.below(30) == 0;
    if (!isLost) {
        fleet_.events_.after(
            kNetworkDelay, [self = shared_from_this(), work, flight, isAnswerLost] {
                self->fleet_.take(self->fleet_.find(flight->backend_), work,
                                  [self, flight, isAnswerLost](AttemptState state) {
                                      if (!isAnswerLost)
                                          self->onEnd(flight, state);
                                  });
            });
    }
    const bool isBroken = fleet_.random_.below(30) == 0;
    if (isBroken) {
        fleet_.events_.after(5ms, [self = shared_from_this(), flight] {
            self->fleet_.atHost(self->host_, [self, flight] {
                self->end(flight, AttemptState::Sent, AttemptFailure::Broken);
            });
        });
    }
    fleet_.events_.after(std::max<Duration>(1ms, routed_.deadline_ - now()),
                         [self = shared_from_this(), flight] {
                             self->fleet_.atHost(self->host_, [self, flight] {
                                 self->end(flight, AttemptState::Sent, AttemptFailure::TimedOut);
                             });
                         });
}

void CoreFleet::Run::onEnd(const std::shared_ptr<Flight> &flight, AttemptState state)
{
    fleet_.events_.after(kNetworkDelay, [self = shared_from_this(), flight, state] {
        self->fleet_.atHost(self->host_, [self, flight, state] {
            self->end(flight, state, AttemptFailure::StaleEpoch);
        });
    });
}

void CoreFleet::Run::end(const std::shared_ptr<Flight> &flight, AttemptState state,
                         AttemptFailure failure)
{
    if (flight->isEnded_)
        return;
    flight->isEnded_ = true;
    flight->stats_->end();
    if (flight->fence_)
        flight->fence_->end(flight->unit_, mayRunUntil(state, routed_.deadline_, now()), now());
    const AttemptState believed = fleet_.injected_.believed(state);
    if (believed == AttemptState::Answered)
        perform(execution_.onAnswered(flight->attempt_, now()));
    else
        perform(execution_.onFailed(flight->attempt_, believed, failure, now()));
}

} // namespace pimentostage
