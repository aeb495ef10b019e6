#include "pimentostage/backend/RangeCoordinator.h"

#include <functional>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// A coordinator whose back end "x" is replaced by another process of the same name. Back ends
/// accept each grant at once; the store and the releases stop answering on demand.
class RangeSuccessor : public testing::Test
{
protected:
    void SetUp() override
    {
        usable_.capacity_ = 6;
        backends_ = { { former_, usable_ }, { other_, usable_ } };
        coordinator_.setBackends(backends_);
        perform(coordinator_.begin(Epoch { 1 }, now_));
        run(3s);
        ASSERT_FALSE(grants_.empty());
    }

    void run(Duration time)
    {
        for (const TimePoint until = now_ + time; now_ < until; now_ += 10ms)
            perform(coordinator_.tick(now_));
    }

    /// Replaces the process of "x" in the store, whose replies are lost from then on.
    void replaceDuringOutage()
    {
        answersWrites_ = false;
        backends_.erase(former_);
        backends_[successor_] = usable_;
        coordinator_.setBackends(backends_);
        grants_.clear();
    }

    void perform(const RangeActions &actions)
    {
        for (const RangeAction &action : actions)
            std::visit([this](const auto &step) { perform(step); }, action);
    }
    void perform(const ReadRanges &) { perform(coordinator_.onRead(std::nullopt, version_, now_)); }
    void perform(const WriteRanges &)
    {
        if (!answersWrites_)
            return;
        version_ = version_.next();
        perform(coordinator_.onWritten(version_, now_));
    }
    void perform(const SendRangeGrant &grant)
    {
        grants_.push_back(grant);
        perform(coordinator_.onGranted(grant, RangeReply { RangeOutcome::Accepted, 1 }, now_));
    }
    void perform(const SendRangeRelease &)
    {
        ++releases_; // work runs on the keys, so that there is no reply
    }
    void perform(const RangeMoveDecided &) { }

    const BackendProcess former_ { BackendName("x"), Incarnation { 100 } };
    const BackendProcess successor_ { BackendName("x"), Incarnation { 200 } };
    const BackendProcess other_ { BackendName("c"), Incarnation { 100 } };
    RangeCoordinator coordinator_ { ServiceName("map"), {}, Random(1) };
    PlannedBackend usable_;
    RangeCoordinator::Backends backends_;
    TimePoint now_ { 1h };
    Version version_ { 1 };
    bool answersWrites_ = true;
    std::vector<SendRangeGrant> grants_;
    int releases_ = 0;
};

// Guards against two holders: the ledger of a replaced process was moved to its successor before
// the placement that names the successor was written, so that a move from the replaced process
// ended at once.
TEST_F(RangeSuccessor, AMoveWaitsForTheHoldOfTheReplacedProcess)
{
    const RangePlacement &placement = coordinator_.placement();
    const RangeOwner &front = placement.ranges_.front();
    const KeyRange range = front.owner_ == former_ ? front.range_ : placement.ranges_.back().range_;
    backends_[former_].takesNewWork_ = false;
    coordinator_.setBackends(backends_);
    run(100ms);
    ASSERT_GT(releases_, 0);
    replaceDuringOutage();
    run(100ms);
    for (const SendRangeGrant &grant : grants_) {
        const bool overlaps
            = grant.order_.range_.from_ <= range.to_ && range.from_ <= grant.order_.range_.to_;
        EXPECT_FALSE(overlaps && grant.to_ == other_)
            << "while the replaced process or its successor may hold the range";
    }
}

// Guards against two holders: a grant to a replaced process reached its successor, and the
// coordinator did not count that hold.
TEST_F(RangeSuccessor, AReplacedProcessGetsNoGrants)
{
    replaceDuringOutage();
    run(2s);
    for (const SendRangeGrant &grant : grants_)
        EXPECT_FALSE(grant.to_ == former_);
}

} // namespace
