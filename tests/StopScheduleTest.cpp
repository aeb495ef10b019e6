#include "src/daemon/StopSchedule.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kSignal { 10s };

// A stop that waited for its last writes to the store and only then began its notice refused new
// requests a second late and ended after the platform's grace period.
TEST(StopScheduleTest, CountsNoticeAndTimeoutFromTheSignal)
{
    const StopSchedule schedule(kSignal, 2300ms, 3200ms);
    EXPECT_EQ(schedule.drainsFrom(), kSignal + 2300ms);
    EXPECT_EQ(schedule.phase(true, kSignal + 2299ms), StopPhase::Notice);
    EXPECT_EQ(schedule.phase(false, kSignal + 2300ms), StopPhase::Draining);
    EXPECT_EQ(schedule.phase(false, kSignal + 5299ms), StopPhase::Draining);
    EXPECT_EQ(schedule.phase(false, kSignal + 5300ms), StopPhase::GivingUp);
    EXPECT_EQ(schedule.phase(false, kSignal + 5499ms), StopPhase::GivingUp);
    EXPECT_EQ(schedule.phase(false, kSignal + 5500ms), StopPhase::Finished);
}

TEST(StopScheduleTest, EndsAsSoonAsEverythingIsAnswered)
{
    const StopSchedule schedule(kSignal, 2300ms, 3200ms);
    EXPECT_EQ(schedule.phase(true, kSignal + 2300ms), StopPhase::Finished);
    EXPECT_EQ(schedule.phase(true, kSignal + 5300ms), StopPhase::Finished);
}

TEST(StopScheduleTest, GivesUpAtOnceIfTheTimeoutIsShorterThanTheFlush)
{
    const StopSchedule schedule(kSignal, 0ms, 100ms);
    EXPECT_EQ(schedule.phase(false, kSignal), StopPhase::GivingUp);
    EXPECT_EQ(schedule.phase(false, kSignal + 100ms), StopPhase::Finished);
}

} // namespace
