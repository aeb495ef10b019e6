#include "pimentostage/base/ByteBudget.h"

#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

constexpr std::size_t kMaxLarge = std::size_t { 64 } * 1024;
constexpr std::size_t kSmall = kMaxLarge / ByteBudget::kSmallMessageDivisor;
constexpr std::size_t kMaxSmall = kMaxLarge / ByteBudget::kSmallMessagesDivisor;

class ByteBudgetTest : public testing::Test
{
protected:
    const std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kMaxLarge);
};

} // namespace

// Guards against a message of the largest size that is refused although no other one is kept.
TEST_F(ByteBudgetTest, OneMessageMayTakeTheWholeLimit)
{
    ByteBudget::Reservation message;
    EXPECT_FALSE(budget_->reserve(message, kMaxLarge + 1));
    EXPECT_TRUE(budget_->reserve(message, kMaxLarge));
}

// Guards against a sum without bound, and against a refusal that leaves bytes counted.
TEST_F(ByteBudgetTest, RefusesAMessageThatExceedsTheSumAndTakesItAfterARelease)
{
    ByteBudget::Reservation first;
    ByteBudget::Reservation second;
    ASSERT_TRUE(budget_->reserve(first, kMaxLarge / 2 + 1));
    EXPECT_FALSE(budget_->reserve(second, kMaxLarge / 2));
    EXPECT_TRUE(budget_->reserve(second, kMaxLarge / 2 - 1));
    first.release();
    EXPECT_TRUE(budget_->reserve(second, kMaxLarge));
}

// Guards against large messages that take the service from small requests.
TEST_F(ByteBudgetTest, SmallMessagesAreTakenWhileALargeOneHasTheWholeLimit)
{
    ByteBudget::Reservation large;
    ASSERT_TRUE(budget_->reserve(large, kMaxLarge));
    std::vector<ByteBudget::Reservation> small(kMaxSmall / kSmall + 1);
    for (std::size_t i = 0; i < small.size(); ++i)
        EXPECT_EQ(budget_->reserve(small[i], kSmall), i < kMaxSmall / kSmall) << i;
}

// Guards against small messages that are refused while there is room for large ones.
TEST_F(ByteBudgetTest, SmallMessagesMayAlsoUseTheLimitOfLargeOnes)
{
    std::vector<ByteBudget::Reservation> small((kMaxSmall + kMaxLarge) / kSmall + 1);
    for (std::size_t i = 0; i + 1 < small.size(); ++i)
        EXPECT_TRUE(budget_->reserve(small[i], kSmall)) << i;
    EXPECT_FALSE(budget_->reserve(small.back(), kSmall));
    small.clear();
    ByteBudget::Reservation large;
    EXPECT_TRUE(budget_->reserve(large, kMaxLarge));
}

// Guards against bytes that stay counted in the pool of small messages by one that outgrew it.
TEST_F(ByteBudgetTest, AGrowingMessageLeavesThePoolOfSmallOnes)
{
    for (int i = 0; i < 1000; ++i) {
        ByteBudget::Reservation message;
        for (std::size_t bytes = kSmall / 2; bytes <= 4 * kSmall; bytes += kSmall / 2)
            ASSERT_TRUE(budget_->reserve(message, bytes)) << i;
    }
    ByteBudget::Reservation message;
    EXPECT_TRUE(budget_->reserve(message, kMaxLarge));
}

// Guards against a release that is counted twice after a move.
TEST_F(ByteBudgetTest, AMovedReservationIsReleasedOnce)
{
    ByteBudget::Reservation second;
    {
        ByteBudget::Reservation first;
        ASSERT_TRUE(budget_->reserve(first, kMaxLarge));
        second = std::move(first);
    }
    ByteBudget::Reservation third;
    EXPECT_FALSE(budget_->reserve(third, kMaxLarge));
    second = ByteBudget::Reservation();
    EXPECT_TRUE(budget_->reserve(third, kMaxLarge));
}
