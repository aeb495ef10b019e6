#include "pimentostage/backend/GrantLedger.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow { 1h };
constexpr Duration kHold = 3s;
constexpr KeyRange kRange { 100, 199 };

TEST(GrantLedger, AnInFlightGrantMayArriveAtAnyTime)
{
    GrantLedger ledger;
    ledger.onSent(1, kRange, kHold);
    EXPECT_TRUE(ledger.mayHold(kRange, kNow + 1h));
    EXPECT_FALSE(ledger.mayHold({ 200, 300 }, kNow));
}

TEST(GrantLedger, AnAcceptedGrantExpiresAfterItsHoldTime)
{
    GrantLedger ledger;
    ledger.onSent(1, kRange, kHold);
    ledger.onOutcome(1, RangeOutcome::Accepted, kNow);
    EXPECT_TRUE(ledger.mayHold({ 199, 250 }, kNow + kHold - 1ms));
    EXPECT_FALSE(ledger.mayHold(kRange, kNow + kHold));
}

TEST(GrantLedger, AReleaseEndsAnAcceptedGrantButNotAnUnansweredOne)
{
    GrantLedger ledger;
    ledger.onSent(1, kRange, kHold);
    ledger.onOutcome(1, RangeOutcome::Accepted, kNow);
    ledger.onReleased(2, { 150, 199 });
    EXPECT_TRUE(ledger.mayHold({ 100, 149 }, kNow));
    EXPECT_FALSE(ledger.mayHold({ 150, 199 }, kNow));
    ledger.onSent(3, kRange, kHold);
    ledger.onOutcome(3, RangeOutcome::Unanswered, kNow);
    ledger.onReleased(4, kRange);
    EXPECT_TRUE(ledger.mayHold(kRange, kNow + kHold - 1ms));
    EXPECT_FALSE(ledger.mayHold(kRange, kNow + kHold));
}

TEST(GrantLedger, ARejectedGrantIsRemoved)
{
    for (const RangeOutcome outcome : { RangeOutcome::StaleEpoch, RangeOutcome::Malformed,
                                        RangeOutcome::NotDelivered, RangeOutcome::ProcessGone }) {
        GrantLedger ledger;
        ledger.onSent(1, kRange, kHold);
        ledger.onOutcome(1, outcome, kNow);
        EXPECT_FALSE(ledger.mayHold(kRange, kNow)) << toString(outcome);
    }
}

TEST(GrantLedger, AnAssumedGrantOfAnEarlierCoordinatorExpires)
{
    GrantLedger ledger;
    ledger.assumeGranted(kRange, kNow + 1s);
    ledger.onReleased(1, kRange);
    EXPECT_TRUE(ledger.mayHold(kRange, kNow))
        << "orders of the earlier coordinator may be in flight";
    EXPECT_FALSE(ledger.mayHold(kRange, kNow + 1s));
}

} // namespace
