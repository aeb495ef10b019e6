#include "tests/fakes/BeastServerFixture.h"

using namespace pimentostage;

namespace {

using PipelineTest = BeastServerTest;

// A caller could end the process: the answer to a request behind an answer that closes the
// connection was looked up after its record was gone.
TEST_F(PipelineTest, IgnoresAnAnswerBehindOneThatClosesTheConnection)
{
    answersImmediately_ = false;
    start();
    Caller caller(server_.port());
    caller.send(get("/first") + get("/second"));
    ASSERT_TRUE(waitFor([this] { return received_.size() == 2; }));
    ServerAnswer refusal { 429, "", {}, "refused" };
    refusal.closesConnection_ = true;
    received_[0].responder_->send(refusal);
    EXPECT_NE(caller.read("never").find("refused"), std::string::npos);
    EXPECT_TRUE(waitFor([this] { return abandoned_ == std::vector<std::string> { "/second" }; }));
    received_[1].responder_->send({ 200, "", {}, "late" });
    answersImmediately_ = true;
    Caller next(server_.port());
    next.send(get("/third"));
    EXPECT_NE(next.read("/third").find(" 200 "), std::string::npos);
}

} // namespace
