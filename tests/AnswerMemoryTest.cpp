#include "pimentostage/base/AnswerMemory.h"

#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

using AnswerId = AnswerMemory::AnswerId;

/// Gives up answers until the limit is kept.
/// @return the answers given up, in order.
std::vector<AnswerId> giveUp(AnswerMemory &memory)
{
    std::vector<AnswerId> givenUp;
    while (const auto id = memory.answerToGiveUp()) {
        memory.remove(*id);
        givenUp.push_back(*id);
    }
    return givenUp;
}

} // namespace

// Guards against answers that are given up although all fit.
TEST(AnswerMemory, KeepsAnswersUpToTheLimit)
{
    AnswerMemory memory(100);
    memory.update(1, 60);
    memory.update(2, 40);
    EXPECT_EQ(memory.totalBytes(), 100U);
    EXPECT_EQ(memory.answerToGiveUp(), std::nullopt);
}

// Guards against the loss of an ordinary answer to that of a faulty back end.
TEST(AnswerMemory, GivesUpTheLargestFirst)
{
    AnswerMemory memory(100);
    memory.update(1, 10);
    memory.update(2, 80);
    memory.update(3, 70);
    memory.update(4, 50);
    EXPECT_EQ(giveUp(memory), (std::vector<AnswerId> { 2, 3 }));
    EXPECT_EQ(memory.totalBytes(), 60U);
    EXPECT_EQ(memory.bytesOf(1), 10U);
    EXPECT_EQ(memory.bytesOf(2), 0U);
}

// Guards against a choice that differs between equal runs.
TEST(AnswerMemory, OfEqualAnswersGivesUpTheNewest)
{
    AnswerMemory memory(100);
    for (const AnswerId id : { 3, 1, 2 })
        memory.update(id, 50);
    EXPECT_EQ(giveUp(memory), std::vector<AnswerId> { 3 });
}

// Guards against bytes of an answer that are counted again with each update, or after its end:
// the host would in time give up every answer.
TEST(AnswerMemory, CountsOnlyThePresentSizeOfUnfinishedAnswers)
{
    AnswerMemory memory(100);
    for (AnswerId id = 1; id <= 1000; ++id) {
        for (const std::size_t bytes : { 10U, 90U, 90U, 40U })
            memory.update(id, bytes);
        EXPECT_EQ(memory.totalBytes(), 40U);
        memory.remove(id);
        memory.remove(id);
    }
    EXPECT_EQ(memory.totalBytes(), 0U);
    EXPECT_EQ(memory.answerToGiveUp(), std::nullopt);
}

// Guards against a loop without end when a single answer exceeds the limit.
TEST(AnswerMemory, GivesUpASingleAnswerAboveTheLimit)
{
    AnswerMemory memory(100);
    memory.update(7, 101);
    EXPECT_EQ(giveUp(memory), std::vector<AnswerId> { 7 });
}
