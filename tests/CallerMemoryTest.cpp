#include "tests/fakes/BeastServerFixture.h"

#include <thread>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kKilobyte = 1024;
/// Longer than the time after which a request without progress may be given up, 1 s.
constexpr Duration kStalledTime = 1200ms;

/// A server with little memory or few connections.
class CallerMemoryTest : public BeastServerTest
{
protected:
    static std::string post(std::size_t bytes)
    {
        return "POST /body HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(bytes)
               + "\r\n\r\n";
    }

    HttpServerOptions optionsWith(MemoryAccount account, std::size_t bytes)
    {
        MemoryLimits limits = defaultMemoryLimits();
        limits.at(static_cast<std::size_t>(account)) = bytes;
        memory_ = std::make_shared<MemoryBudget>(limits);
        HttpServerOptions options;
        options.memory_ = memory_;
        return options;
    }

    std::shared_ptr<MemoryBudget> memory_;
};

} // namespace

// Guards against bodies that stop short and keep larger room than those that ordinary callers need.
TEST_F(CallerMemoryTest, AStalledBodyIsGivenUpForASmallerOne)
{
    HttpServerOptions options;
    options.maxBufferedBytes_ = 1024 * kKilobyte;
    start(options);
    Caller stalled(server_.port());
    stalled.send(post(1000 * kKilobyte) + "begun");
    std::this_thread::sleep_for(kStalledTime);
    Caller ordinary(server_.port());
    ordinary.send(post(100 * kKilobyte) + std::string(100 * kKilobyte, 'b'));
    EXPECT_NE(ordinary.read("/body").find(" 200 "), std::string::npos);
    EXPECT_NE(stalled.read("no such text").find(" 408 "), std::string::npos);
}

// Guards against the loss of a small body to a large one.
TEST_F(CallerMemoryTest, ASmallerBodyIsNotGivenUpForALargerOne)
{
    HttpServerOptions options;
    options.maxBufferedBytes_ = 1024 * kKilobyte;
    start(options);
    Caller small(server_.port());
    small.send(post(100 * kKilobyte));
    std::this_thread::sleep_for(kStalledTime);
    Caller large(server_.port());
    large.send(post(1000 * kKilobyte));
    EXPECT_NE(large.read("no such text").find(" 503 "), std::string::npos);
    small.send(std::string(100 * kKilobyte, 'b'));
    EXPECT_NE(small.read("/body").find(" 200 "), std::string::npos);
}

// Guards against a body that is still arriving and is taken for one that stopped short.
TEST_F(CallerMemoryTest, ABodyThatMakesProgressIsNotGivenUp)
{
    HttpServerOptions options;
    options.maxBufferedBytes_ = 1024 * kKilobyte;
    start(options);
    Caller slow(server_.port());
    slow.send(post(1000 * kKilobyte) + std::string(900 * kKilobyte, 'b'));
    std::this_thread::sleep_for(kStalledTime);
    slow.send(std::string(8 * kKilobyte, 'b'));
    std::this_thread::sleep_for(100ms);
    Caller other(server_.port());
    other.send(post(100 * kKilobyte));
    EXPECT_NE(other.read("no such text").find(" 503 "), std::string::npos);
    slow.send(std::string(92 * kKilobyte, 'b'));
    EXPECT_NE(slow.read("/body").find(" 200 "), std::string::npos);
}

// Guards against heads that stop short and together take memory without bound.
TEST_F(CallerMemoryTest, StalledHeadsKeepTheLimitAndOrdinaryRequestsAreAnswered)
{
    start(optionsWith(MemoryAccount::CallerHeads, 100 * kKilobyte));
    std::vector<std::unique_ptr<Caller>> stalled;
    for (int i = 0; i < 40; ++i) {
        stalled.push_back(std::make_unique<Caller>(server_.port()));
        stalled.back()->send("GET / HTTP/1.1\r\nX-Fill: " + std::string(8 * kKilobyte, 'h'));
    }
    std::this_thread::sleep_for(kStalledTime);
    EXPECT_LE(memory_->used(MemoryAccount::CallerHeads), 100 * kKilobyte);
    EXPECT_GT(memory_->refusals(MemoryAccount::CallerHeads), 0U);
    Caller ordinary(server_.port());
    ordinary.send(get("/ordinary"));
    EXPECT_NE(ordinary.read("/ordinary").find(" 200 "), std::string::npos);
}

// Guards against heads, bodies or answers that stay counted when their requests have ended.
TEST_F(CallerMemoryTest, NothingStaysCountedAfterTheAnswers)
{
    start(optionsWith(MemoryAccount::CallerHeads, 100 * kKilobyte));
    Caller caller(server_.port());
    for (int i = 0; i < 300; ++i) {
        caller.send(post(10 * kKilobyte) + std::string(10 * kKilobyte, 'b'));
        ASSERT_NE(caller.read("/body").find(" 200 "), std::string::npos) << i;
    }
    std::this_thread::sleep_for(50ms);
    for (const auto &row : EnumTable<MemoryAccount>::kRows)
        EXPECT_EQ(memory_->used(row.value_), 0U) << row.name_;
}

// Guards against answers without a bound for callers that do not read, and against the loss of a
// small answer for the sake of a large one.
TEST_F(CallerMemoryTest, TheLargestUnreadAnswersAreGivenUp)
{
    // More than a loopback connection's buffers take.
    constexpr std::size_t kLarge = std::size_t { 16 } * 1024 * kKilobyte;
    answersImmediately_ = false;
    start(optionsWith(MemoryAccount::UnreadAnswers, kLarge + kLarge / 2));
    Caller small(server_.port());
    Caller first(server_.port());
    Caller second(server_.port());
    for (Caller *caller : { &small, &first, &second })
        caller->send(get("/x"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 3; }));
    received_[0].responder_->send({ 200, "", {}, "small" });
    received_[1].responder_->send({ 200, "", {}, std::string(kLarge, 'a') });
    received_[2].responder_->send({ 200, "", {}, std::string(kLarge - 1, 'b') });
    EXPECT_NE(small.read("small").find("small"), std::string::npos);
    std::this_thread::sleep_for(100ms);
    EXPECT_EQ(memory_->refusals(MemoryAccount::UnreadAnswers), 1U);
    EXPECT_LE(memory_->used(MemoryAccount::UnreadAnswers), kLarge + kLarge / 2);
}

// Guards against connections without requests that shut out those of ordinary callers.
TEST_F(CallerMemoryTest, AnUnusedConnectionIsClosedForANewOne)
{
    HttpServerOptions options;
    options.maxConnections_ = 2;
    answersImmediately_ = false;
    start(options);
    Caller running(server_.port());
    running.send(get("/running"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 1; }));
    Caller unused(server_.port());
    std::this_thread::sleep_for(50ms);
    Caller third(server_.port());
    third.send(get("/third"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 2; }));
    EXPECT_EQ(unused.read("no such text"), "");
    for (const ReceivedRequest &received : received_)
        received.responder_->send({ 200, "", {}, received.request_.path() });
    EXPECT_NE(running.read("/running").find(" 200 "), std::string::npos);
    EXPECT_NE(third.read("/third").find(" 200 "), std::string::npos);
}
