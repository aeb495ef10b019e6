#include "pimentostage/backend/ZoneReturns.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kNow { 1h };
constexpr Duration kReportTime = 3s;
constexpr Duration kMaxAge = 1700ms;
const ZoneName kZone("north");

} // namespace

// Guards against an end of the wait by the passing of time alone: what the host knows may be older
// than the back ends' reports.
TEST(ZoneReturns, EndOnceTheStoreHasConfirmedTheReports)
{
    ZoneReturns returns(kReportTime, kMaxAge);
    EXPECT_TRUE(returns.awaited().empty());
    returns.onReturn(kZone, kNow);
    EXPECT_TRUE(returns.update(500ms, kNow + kReportTime + 400ms).empty());
    EXPECT_TRUE(returns.awaited().contains(kZone));
    EXPECT_EQ(returns.update(500ms, kNow + kReportTime + 500ms), std::vector { kZone });
    EXPECT_TRUE(returns.awaited().empty());
}

// Guards against an end of the wait while the back ends cannot report, or could not until now.
TEST(ZoneReturns, WaitAnewAfterTheStoreWasOutOfReach)
{
    ZoneReturns returns(kReportTime, kMaxAge);
    returns.onReturn(kZone, kNow);
    EXPECT_TRUE(returns.update(kMaxAge, kNow + 10s).empty());
    EXPECT_TRUE(returns.update({}, kNow + 20s).empty());
    EXPECT_TRUE(returns.update(Duration::zero(), kNow + 20s + kReportTime - 1ms).empty());
    EXPECT_FALSE(returns.update(Duration::zero(), kNow + 20s + kReportTime).empty());
}

TEST(ZoneReturns, AreForgottenWhenTheDataCentreIsTakenOut)
{
    ZoneReturns returns(kReportTime, kMaxAge);
    returns.onReturn(kZone, kNow);
    returns.onOut(kZone);
    EXPECT_TRUE(returns.awaited().empty());
    EXPECT_TRUE(returns.update(Duration::zero(), kNow + kReportTime).empty());
}

TEST(ZoneReturns, WaitAnewForADataCentreThatReturnsAgain)
{
    ZoneReturns returns(kReportTime, kMaxAge);
    returns.onReturn(kZone, kNow);
    returns.onReturn(kZone, kNow + 2s);
    EXPECT_TRUE(returns.update(Duration::zero(), kNow + kReportTime).empty());
    EXPECT_FALSE(returns.update(Duration::zero(), kNow + 2s + kReportTime).empty());
}
