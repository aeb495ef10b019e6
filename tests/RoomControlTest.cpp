#include "src/daemon/RoomControl.h"

#include "src/sibling/FrameCodec.h"
#include "tests/fakes/NullLog.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kBackends = 400;
constexpr double kSeconds = 10;
// Headers of TCP and IP of a message and of its acknowledgement.
constexpr std::size_t kPacketBytes = 80;

MemberUpdate hostOf(std::size_t number)
{
    MemberUpdate update;
    update.member_ = Member { HostName("host-" + std::to_string(number)), Incarnation { 1 } };
    return update;
}

/// One host of a fleet; records what it sends.
class RoomControlTest
    : public testing::Test
    , public SiblingSender
{
protected:
    void start(std::size_t hosts, Balancing balancing = Balancing::ExpectedTime)
    {
        for (std::size_t other = 1; other < hosts; ++other)
            membership_.merge(hostOf(other), now_);
        Configuration configuration;
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = balancing;
        configuration.services_[service.name_] = service;
        for (std::size_t i = 0; i < kBackends; ++i) {
            Backend backend;
            backend.name_ = BackendName("worker-" + std::to_string(i));
            backend.service_ = service.name_;
            backend.slots_ = 4;
            configuration.backends_[backend.name_] = backend;
        }
        FleetState fleet;
        fleet.entryHosts_ = hosts;
        fleet.sharesRoom_ = true;
        table_ = tables_.build(configuration, fleet, now_);
        control_.setTable(*table_);
    }

    void send(const HostName &, const SiblingMessage &message) override
    {
        ++messages_;
        bytes_ += encodeFrame(message).size() + kPacketBytes;
        last_ = std::get<RoomReport>(message);
    }

    std::shared_ptr<BackendStats> stats(std::size_t backend) const
    {
        return tables_.stats(BackendName("worker-" + std::to_string(backend)));
    }

    /// Runs for kSeconds under a load that changes the state of all back ends all the time; the
    /// others send as much as this host.
    void runUnderLoad()
    {
        for (int tick = 0; tick < static_cast<int>(kSeconds * 100); ++tick) {
            now_ += 10ms;
            for (std::size_t i = 0; i < 20; ++i) {
                const std::size_t backend = random_.below(kBackends);
                stats(backend)->onLoadReport({ 4, 12, 1.55 }, now_);
            }
            const std::size_t before = messages_;
            control_.tick(now_);
            RoomReport received = last_;
            for (RoomDelta &delta : received.deltas_)
                delta.backend_ = backendNumberOf("worker-" + std::to_string(random_.below(400)));
            for (std::size_t i = before; i < messages_; ++i)
                control_.onMessage(received, now_);
        }
    }

    TimePoint now_ { 1h };
    Random random_ { 7 };
    NullLog log_;
    MetricRegistry metrics_;
    Membership membership_ { hostOf(0), Random(1) };
    RoutingTableBuilder tables_;
    std::shared_ptr<const RoutingTable> table_;
    RoomControl control_ { HostName("host-0"), membership_, *this,   tables_,
                           Random(2),          log_,        metrics_ };
    std::size_t messages_ = 0;
    std::size_t bytes_ = 0;
    RoomReport last_;
};

// In a fleet of 2,900 hosts all control traffic of a host may cost 28 KB/s, of which this may be 4.
TEST_F(RoomControlTest, CostsAtMostFourKilobytesASecondInALargeFleet)
{
    start(2900);
    runUnderLoad();
    RecordProperty("bytes_per_second", std::to_string(bytes_ / kSeconds));
    EXPECT_LE(static_cast<double>(bytes_) / kSeconds, 4096);
    EXPECT_GT(last_.deltas_.size(), 10U);
}

TEST_F(RoomControlTest, CostsAtMostTwelveKilobytesASecondInAFleetOf88Hosts)
{
    start(88);
    runUnderLoad();
    RecordProperty("bytes_per_second", std::to_string(bytes_ / kSeconds));
    EXPECT_LE(static_cast<double>(bytes_) / kSeconds, 12'288);
    EXPECT_GT(last_.deltas_.size(), 20U);
}

TEST_F(RoomControlTest, PassesOnWhatASiblingReported)
{
    start(3);
    control_.onMessage({ { { backendNumberOf("worker-5"), 4, 9, 80, false, 100 } } }, now_);
    const RoomObservation known = stats(5)->room().newest();
    EXPECT_EQ(known.waiting_, 9U);
    EXPECT_EQ(known.at_, now_ - 100ms);
    EXPECT_TRUE(table_->services_.at("plain").candidates_.front().isRoomShared(now_));
    EXPECT_TRUE(stats(5)->hasAnsweredLately(now_)) << "another host had an answer";
    now_ += 50ms;
    control_.tick(now_);
    ASSERT_EQ(last_.deltas_.size(), 1U);
    EXPECT_EQ(last_.deltas_.front().ageMs_, 150) << "the age includes the time spent here";
}

// Guards against reports that circulate for ever: one that comes back seems newer by the time that
// it spent on the way.
TEST_F(RoomControlTest, DoesNotSendAgainWhatComesBack)
{
    start(3);
    const RoomDelta delta { backendNumberOf("worker-5"), 4, 9, 80, false, 100 };
    for (int i = 0; i < 10; ++i) {
        now_ += 100ms;
        RoomDelta back = delta;
        back.ageMs_ = static_cast<std::uint16_t>(100 + 99 * i); // 1 ms less than passed
        control_.onMessage({ { back } }, now_);
        control_.tick(now_);
    }
    EXPECT_LE(messages_, 4U) << "two transmissions to two receivers";
}

TEST_F(RoomControlTest, IgnoresBackEndsThatItDoesNotKnow)
{
    start(3);
    control_.onMessage({ { { backendNumberOf("unknown"), 4, 9, 80, false, 100 } } }, now_);
    control_.tick(now_ + 1s);
    EXPECT_EQ(messages_, 0U);
}

TEST_F(RoomControlTest, SendsNothingWhereBackEndsDoNotReportOrThereIsNoSibling)
{
    start(3, Balancing::PowerOfTwo);
    stats(1)->onLoadReport({ 4, 1, 1 }, now_);
    control_.tick(now_ + 1s);
    EXPECT_EQ(messages_, 0U);
}

TEST_F(RoomControlTest, AloneItSendsNothing)
{
    start(1);
    stats(1)->onLoadReport({ 4, 1, 1 }, now_);
    control_.tick(now_ + 1s);
    EXPECT_EQ(messages_, 0U);
}

} // namespace
