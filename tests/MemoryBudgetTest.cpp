#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/AnswerMemory.h"
#include "pimentostage/base/ByteBudget.h"
#include "pimentostage/operator/Settings.h"

#include <numeric>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

constexpr std::size_t kMegabyte = 1'000'000;
constexpr std::size_t kLargestBody = 67'108'864;

std::size_t sumOf(const MemoryLimits &limits)
{
    return std::accumulate(limits.begin(), limits.end(), std::size_t { 0 });
}

MemoryLimits limitsOf(std::size_t bytes)
{
    MemoryLimits limits;
    limits.fill(bytes);
    return limits;
}

} // namespace

// Guards against limits that together exceed the machine, and against a host of the smallest size
// that cannot take a single body of the largest size.
TEST(MemoryBudget, LimitsOfEachMachineFitIntoItsMemory)
{
    for (const std::size_t megabytes : { 120, 160, 260, 512, 4096 }) {
        const auto limits = memoryLimitsFor(megabytes * kMegabyte, kLargestBody);
        ASSERT_TRUE(limits) << megabytes;
        EXPECT_LE(sumOf(*limits) + kProcessBaseBytes, megabytes * kMegabyte) << megabytes;
        const MemoryBudget memory(*limits);
        EXPECT_GE(memory.limit(MemoryAccount::CallerBodies), kLargestBody) << megabytes;
        for (const auto &row : EnumTable<MemoryAccount>::kRows)
            EXPECT_GT(memory.limit(row.value_), 0U) << row.name_;
    }
}

// Guards against a process that starts although its limits exceed the machine.
TEST(MemoryBudget, TooLittleMemoryForTheLargestBodyIsAnError)
{
    EXPECT_FALSE(memoryLimitsFor(90 * kMegabyte, kLargestBody));
    EXPECT_TRUE(memoryLimitsFor(90 * kMegabyte, kMegabyte));
    const SettingsResult result = parseSettings("[host]\nmemory_mb = 90\n[caller]\n"
                                                "max_request_bytes = 67108864\n",
                                                "host.ini");
    bool isReported = false;
    for (const SettingsError &error : result.errors_)
        isReported = isReported || error.key_ == "memory_mb";
    EXPECT_TRUE(isReported);
}

// Guards against an account that takes more than its limit, and one that takes another's memory.
TEST(MemoryBudget, EachAccountKeepsItsLimit)
{
    MemoryBudget memory(limitsOf(100));
    EXPECT_TRUE(memory.take(MemoryAccount::CallerHeads, 60));
    EXPECT_FALSE(memory.take(MemoryAccount::CallerHeads, 41));
    EXPECT_TRUE(memory.take(MemoryAccount::StoreReplies, 100));
    EXPECT_EQ(memory.used(MemoryAccount::CallerHeads), 60U);
    EXPECT_EQ(memory.refusals(MemoryAccount::CallerHeads), 1U);
    memory.remove(MemoryAccount::CallerHeads, 60);
    EXPECT_TRUE(memory.take(MemoryAccount::CallerHeads, 100));
}

// Guards against a second count beside the ledger, and against bytes that stay counted.
TEST(MemoryBudget, BodiesAndAnswersAreCountedInTheirAccounts)
{
    const auto memory = std::make_shared<MemoryBudget>(limitsOf(4096));
    const auto bodies = std::make_shared<ByteBudget>(4096, memory, MemoryAccount::CallerBodies);
    {
        ByteBudget::Reservation body;
        ASSERT_TRUE(bodies->reserve(body, 1000));
        ASSERT_TRUE(bodies->reserve(body, 3000));
        EXPECT_EQ(memory->used(MemoryAccount::CallerBodies), 3000U);
    }
    EXPECT_EQ(memory->used(MemoryAccount::CallerBodies), 0U);
    {
        AnswerMemory answers(4096, memory, MemoryAccount::UnreadAnswers);
        answers.update(1, 500);
        answers.update(1, 700);
        answers.update(2, 50);
        answers.remove(2);
        EXPECT_EQ(memory->used(MemoryAccount::UnreadAnswers), 700U);
    }
    EXPECT_EQ(memory->used(MemoryAccount::UnreadAnswers), 0U);
}
