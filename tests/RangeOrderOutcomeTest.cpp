#include "pimentostage/backend/RangeCoordinator.h"

#include <algorithm>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

bool overlap(const KeyRange &a, const KeyRange &b)
{
    return a.from_ <= b.to_ && b.from_ <= a.to_;
}

/// A coordinator whose orders are answered on demand; writes are confirmed at once.
class RangeOrderOutcome : public testing::Test
{
protected:
    void run(Duration time)
    {
        for (const TimePoint until = now_ + time; now_ < until; now_ += 10ms) {
            for (std::uint32_t bucket = 0; hasLoad_ && bucket < RangeLoad::kBuckets; ++bucket)
                coordinator_.addLoad(
                    bucket, hasHotMiddle_ && bucket / 4 == RangeLoad::kBuckets / 8 ? 100 : 1);
            perform(coordinator_.tick(now_));
        }
    }
    void start()
    {
        coordinator_.setBackends(backends_);
        perform(coordinator_.begin(Epoch { 1 }, now_));
    }
    void perform(const RangeActions &actions)
    {
        for (const RangeAction &action : actions)
            std::visit([this](const auto &step) { perform(step); }, action);
    }
    void perform(const ReadRanges &) { perform(coordinator_.onRead(stored_, version_, now_)); }
    void perform(const WriteRanges &write)
    {
        stored_ = write.placement_;
        version_ = version_.next();
        perform(coordinator_.onWritten(version_, now_));
    }
    void perform(const SendRangeGrant &grant)
    {
        grants_.push_back(grant);
        if (holdsGrantsTo_ == grant.to_.name_.str()) {
            pendingGrants_.push_back(grant);
            return;
        }
        accept(grant, grant.connection_ != 0 ? grant.connection_ : 1);
    }
    void accept(const SendRangeGrant &grant, ConnectionId connection)
    {
        perform(
            coordinator_.onGranted(grant, RangeReply { RangeOutcome::Accepted, connection }, now_));
    }
    void perform(const SendRangeRelease &release)
    {
        if (holdsReleases_) {
            pendingReleases_.push_back(release);
            return;
        }
        perform(coordinator_.onReleased(release, RangeReply { RangeOutcome::Accepted, 1 }, now_));
    }
    void perform(const RangeMoveDecided &) { }

    const BackendProcess x_ { BackendName("x"), Incarnation { 100 } };
    const BackendProcess z_ { BackendName("z"), Incarnation { 100 } };
    PlannedBackend usable_ { 6, true };
    RangeCoordinator::Backends backends_;
    RangeCoordinator coordinator_ { ServiceName("map"), {}, Random(1) };
    std::optional<RangePlacement> stored_;
    Version version_ { 1 };
    TimePoint now_ { 1h };
    bool hasLoad_ = false;
    bool hasHotMiddle_ = false;
    std::string holdsGrantsTo_;
    bool holdsReleases_ = false;
    std::vector<SendRangeGrant> grants_, pendingGrants_;
    std::vector<SendRangeRelease> pendingReleases_;
};

// Guards against two holders: the reply to a release of an earlier move arrives after the process
// was given the range again, and ended the hold of that grant too.
TEST_F(RangeOrderOutcome, LateReplyToAReleaseDoesNotCountForALaterGrant)
{
    const auto useOnly = [&](const BackendProcess &only) {
        backends_ = { { x_, usable_ }, { z_, usable_ } };
        backends_[only == x_ ? z_ : x_].takesNewWork_ = false;
        coordinator_.setBackends(backends_);
    };
    useOnly(x_);
    start();
    run(3s);
    holdsReleases_ = true;
    useOnly(z_);
    run(2600ms);
    ASSERT_EQ(pendingReleases_.size(), 1U);
    ASSERT_EQ(coordinator_.movingRanges(), 0U) << "the hold has run out, z owns all";
    const SendRangeRelease late = pendingReleases_.front();
    holdsReleases_ = false;
    grants_.clear();
    useOnly(x_);
    run(100ms);
    ASSERT_FALSE(grants_.empty());
    ASSERT_EQ(grants_.front().to_, x_) << "x has the range again";
    // 2.7 s after the release was sent (its timeout is 3 s) the reply arrives.
    perform(coordinator_.onReleased(late, RangeReply { RangeOutcome::Accepted, 1 }, now_));
    holdsReleases_ = true;
    useOnly(z_);
    grants_.clear();
    run(300ms);
    for (const auto &grant : grants_)
        EXPECT_NE(grant.to_, z_) << "x accepted a hold of 2.5 s at most 400 ms ago";
}

// Guards against two holders: a release finds the address refused while a grant is on its way,
// which the next process takes, and which no ledger counted.
TEST_F(RangeOrderOutcome, AGrantInFlightCountsAfterARefusedRelease)
{
    backends_ = { { x_, usable_ } };
    hasLoad_ = true;
    start();
    run(3s);
    holdsReleases_ = true;
    holdsGrantsTo_ = "x";
    backends_[z_] = usable_;
    coordinator_.setBackends(backends_);
    run(200ms);
    ASSERT_FALSE(pendingReleases_.empty());
    ASSERT_EQ(pendingGrants_.size(), 1U);
    const SendRangeGrant inFlight = pendingGrants_.front();
    grants_.clear();
    perform(coordinator_.onReleased(pendingReleases_.front(),
                                    RangeReply { RangeOutcome::ProcessGone, 0 }, now_));
    accept(inFlight, 9);
    run(500ms);
    for (const auto &grant : grants_)
        EXPECT_FALSE(grant.to_ == z_ && overlap(grant.order_.range_, inFlight.order_.range_));
}

// Guards against two processes with one epoch: the outcome of a grant from before begin() was taken
// for that of a later one, so that two grants under one epoch were on their way, neither bound to a
// connection.
TEST_F(RangeOrderOutcome, AnOutcomeFromBeforeTheRoleWasRegainedEndsNoLaterOrder)
{
    backends_ = { { x_, usable_ } };
    hasLoad_ = true;
    hasHotMiddle_ = true;
    start();
    run(3s);
    backends_[z_] = usable_;
    coordinator_.setBackends(backends_);
    run(5s);
    hasLoad_ = false;
    const auto &rows = coordinator_.placement().ranges_;
    ASSERT_GE(std::count_if(rows.begin(), rows.end(),
                            [&](const RangeOwner &row) { return row.owner_ == x_; }),
              2);
    holdsGrantsTo_ = "x";
    run(700ms);
    ASSERT_EQ(pendingGrants_.size(), 1U);
    const SendRangeGrant former = pendingGrants_.front();
    pendingGrants_.clear();
    coordinator_.end();
    perform(coordinator_.begin(Epoch { 2 }, now_));
    run(100ms);
    ASSERT_EQ(pendingGrants_.size(), 1U);
    perform(coordinator_.onGranted(former, RangeReply { RangeOutcome::NotDelivered, 0 }, now_));
    run(50ms);
    EXPECT_EQ(pendingGrants_.size(), 1U) << "grants are sent one at a time";
}

} // namespace
