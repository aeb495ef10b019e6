#include "pimentostage/backend/RoomEstimate.h"
#include "pimentostage/backend/RoutingTable.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr double kLimit = 4 * kMaxLoadPerSlot; ///< of a back end with 4 slots
constexpr Rivals kNoRivals { 88, 0, 1 };

class RoomEstimateTest : public testing::Test
{
protected:
    void observe(std::uint32_t running, std::uint32_t waiting, Duration age = 0ms)
    {
        room_.onObservation({ running, waiting, 1, false, now_ - age });
    }

    bool hasRoom(std::uint32_t inFlight = 0, const Rivals &rivals = kNoRivals) const
    {
        return room_.hasRoom(kLimit, inFlight, rivals, 300ms, now_);
    }

    RoomEstimate room_;
    TimePoint now_ { 1h };
};

// A host that has just started knows nothing; all hosts together could fill a back end at once.
TEST_F(RoomEstimateTest, WithoutAnObservationOneRequestAtATimeMayBeSent)
{
    EXPECT_TRUE(hasRoom(0));
    EXPECT_FALSE(hasRoom(1));
}

// Guards against a burst that waits at the few hosts of a small deployment for the first answers.
TEST_F(RoomEstimateTest, WithoutAnObservationFewHostsMaySendTheirPartOfTheRoom)
{
    EXPECT_TRUE(hasRoom(3, { 2, 0, 1 }));
    EXPECT_FALSE(hasRoom(4, { 2, 0, 1 }));
}

TEST_F(RoomEstimateTest, AFullBackEndHasNoRoom)
{
    observe(4, 1);
    EXPECT_TRUE(hasRoom());
    now_ += 10ms;
    observe(4, 3);
    EXPECT_FALSE(hasRoom()) << "not even one request, as every host would send one";
    now_ += 10ms;
    observe(4, 0);
    EXPECT_TRUE(hasRoom());
    now_ += 10ms;
    room_.onFull(now_);
    EXPECT_FALSE(hasRoom()) << "it closed a connection";
}

TEST_F(RoomEstimateTest, OlderObservationsOfSiblingsAreIgnored)
{
    observe(4, 12);
    observe(1, 0, 200ms);
    EXPECT_FALSE(hasRoom());
}

TEST_F(RoomEstimateTest, CountsWhatThisHostHasSentSince)
{
    observe(4, 0);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(hasRoom(static_cast<std::uint32_t>(i)));
        now_ += 1ms;
        room_.onSent(now_);
    }
    EXPECT_FALSE(hasRoom(3));
    now_ += 1ms;
    observe(4, 0);
    EXPECT_TRUE(hasRoom(3)) << "the observation includes them";
}

// Guards against the herd: with one view of the load, all hosts sent to the same back ends until
// the next observation.
TEST_F(RoomEstimateTest, CountsWhatOtherHostsAreExpectedToHaveSent)
{
    const Rivals rivals { 88, 100, 0 };
    observe(4, 2);
    EXPECT_TRUE(hasRoom(0, rivals));
    now_ += 100ms;
    int senders = 0;
    for (std::uint64_t host = 0; host < 1000; ++host)
        senders += hasRoom(0, { 88, 100, host * 0x9e3779b97f4a7c15ULL }) ? 1 : 0;
    EXPECT_LT(senders, 30) << "room for one request, for which 1,000 hosts draw 1 in 88";
    EXPECT_GT(senders, 0) << "the room is not left unused";
}

TEST_F(RoomEstimateTest, AnOldObservationOnlyLimits)
{
    observe(4, 0);
    now_ += 1s;
    EXPECT_TRUE(hasRoom(0));
    EXPECT_FALSE(hasRoom(1));
}

// One request of each of 88 hosts would be more than a full back end takes.
TEST_F(RoomEstimateTest, AfterAnOldObservationOfAFullBackEndFewHostsSend)
{
    observe(4, 16);
    now_ += 1s;
    int senders = 0;
    for (std::uint64_t host = 0; host < 880; ++host)
        senders += hasRoom(0, { 88, 0, host * 0x9e3779b97f4a7c15ULL }) ? 1 : 0;
    EXPECT_GT(senders, 20) << "of 10 fleets";
    EXPECT_LT(senders, 120);
    now_ += 1s;
    EXPECT_TRUE(hasRoom(0)) << "expired";
}

/// A service with one back end and shared observations.
class RoomSelectionTest : public testing::Test
{
protected:
    RoomSelectionTest()
    {
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = Balancing::ExpectedTime;
        configuration_.services_[service.name_] = service;
        Backend backend;
        backend.name_ = BackendName("b");
        backend.service_ = service.name_;
        backend.slots_ = 4;
        backend.connections_ = 590;
        configuration_.backends_[backend.name_] = backend;
        fleet_.entryHosts_ = 2;
        fleet_.sharesRoom_ = true;
        rebuild();
    }

    void rebuild() { table_ = builder_.build(configuration_, fleet_, now_); }

    BackendChoice select()
    {
        return BackendSelector::select(table_->services_.at("plain"), { "", {} }, {}, random_,
                                       now_);
    }

    Configuration configuration_;
    FleetState fleet_;
    RoutingTableBuilder builder_;
    std::shared_ptr<const RoutingTable> table_;
    Random random_ { 1 };
    TimePoint now_ { 1h };
};

TEST_F(RoomSelectionTest, ARequestWaitsWhileASiblingReportsNoRoom)
{
    builder_.onRoomReport(now_);
    builder_.stats(BackendName("b"))->room().onObservation({ 4, 8, 1, false, now_ });
    EXPECT_EQ(select().candidate_, nullptr);
    EXPECT_TRUE(select().isBusy_);
    now_ += 100ms;
    builder_.stats(BackendName("b"))->room().onObservation({ 1, 0, 1, false, now_ });
    EXPECT_NE(select().candidate_, nullptr);
}

// If all siblings are lost, or never reported, this host must go on as it does alone.
TEST_F(RoomSelectionTest, WithoutReportsSelectionIsAsWithoutSharing)
{
    builder_.stats(BackendName("b"))->room().onObservation({ 4, 8, 1, false, now_ });
    EXPECT_NE(select().candidate_, nullptr);
    builder_.stats(BackendName("b"))->end();
    builder_.onRoomReport(now_);
    EXPECT_EQ(select().candidate_, nullptr);
    now_ += 2s;
    EXPECT_NE(select().candidate_, nullptr);
}

TEST_F(RoomSelectionTest, OtherBalancingsAndSingleHostsShareNothing)
{
    fleet_.entryHosts_ = 1;
    rebuild();
    builder_.onRoomReport(now_);
    EXPECT_FALSE(table_->services_.at("plain").candidates_.front().isRoomShared(now_));
    fleet_.entryHosts_ = 2;
    configuration_.services_.at(ServiceName("plain")).balancing_ = Balancing::PowerOfTwo;
    rebuild();
    EXPECT_EQ(table_->services_.at("plain").candidates_.front().sharing_, nullptr);
}

} // namespace
