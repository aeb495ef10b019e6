#include "src/operator/OperatorServer.h"

#include "src/base/BeastServer.h"
#include "tests/fakes/BeastServerFixture.h"

#include <gtest/gtest.h>

using namespace pimentostage;

namespace {

/// A host that is ready.
class ReadyHost : public HostStatus
{
public:
    [[nodiscard]] bool isReady() const override { return true; }
    [[nodiscard]] std::string statusJson() override { return "{}"; }
    [[nodiscard]] std::string ownerJson(const std::string &, const std::string &) override
    {
        return "";
    }
};

/// The operator pages of a host.
class OperatorServerTest : public BeastServerTest
{
protected:
    void SetUp() override
    {
        auto server = std::make_unique<BeastServer>();
        BeastServer &port = *server;
        pages_ = std::make_unique<OperatorServer>(std::move(server), host_, metrics_);
        const bool isListening = valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(pages_->start(Address { "127.0.0.1", kAnyPort }, ""));
                return true;
            },
            [](const Error &) { return false; });
        ASSERT_TRUE(isListening);
        port_ = port.port();
    }

    void TearDown() override { pages_->stop(); }

    ReadyHost host_;
    MetricRegistry metrics_;
    std::unique_ptr<OperatorServer> pages_;
    std::uint16_t port_ = 0;
};

} // namespace

// Guards against bodies that no page reads and that fill a host's memory: two
// addresses, 64 MiB each.
TEST_F(OperatorServerTest, TakesNoLargeBodies)
{
    Caller caller(port_);
    caller.send("POST /readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
                + std::string(1'000'000, 'x'));
    EXPECT_NE(caller.read("\r\n\r\n").find(" 413 "), std::string::npos);
    Caller other(port_);
    other.send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    EXPECT_NE(other.read("\r\n\r\n").find(" 200 "), std::string::npos);
}
