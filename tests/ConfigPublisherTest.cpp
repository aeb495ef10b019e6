#include "src/daemon/ConfigPublisher.h"

#include "pimentostage/platform/ObjectCodec.h"

#include <gtest/gtest.h>

#include <map>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 69;
constexpr std::size_t kHighCapacityHosts = 6;
constexpr std::size_t kZones = 3;

MemberUpdate hostOf(std::size_t number)
{
    MemberUpdate update;
    update.member_ = Member { HostName("host-" + std::to_string(number)), Incarnation { 1 } };
    update.capacity_ = number < kHighCapacityHosts ? 500 : 100;
    update.zone_ = ZoneName("zone-" + std::to_string(number % kZones));
    return update;
}

StoredObject zoneOut(std::uint64_t version)
{
    return StoredObject {
        { ObjectKind::Zone, "serra-a" }, Version { version }, false, R"({"state":"out"})"
    };
}

/// Hosts that publish over links that deliver immediately.
class PublishingFleet
{
public:
    PublishingFleet()
    {
        for (std::size_t i = 0; i < kHosts; ++i)
            hosts_.push_back(std::make_unique<Host>(*this, i));
    }

    struct Host : public SiblingSender
    {
        Host(PublishingFleet &fleet, std::size_t number)
            : fleet_(fleet)
            , membership_(hostOf(number), Random(number))
            , publisher_(hostOf(number), config_, membership_, *this, Random(number))
        {
            for (std::size_t other = 0; other < kHosts; ++other) {
                if (other != number)
                    membership_.merge(hostOf(other), TimePoint(1h));
            }
        }

        void send(const HostName &to, const SiblingMessage &message) override
        {
            ++sent_;
            fleet_.deliver(to, std::get<ConfigPush>(message));
        }

        PublishingFleet &fleet_;
        ConfigState config_;
        Membership membership_;
        ConfigPublisher publisher_;
        std::size_t sent_ = 0;
        std::size_t received_ = 0;
    };

    void deliver(const HostName &to, const ConfigPush &push)
    {
        Host &host = *hosts_.at(std::stoul(to.str().substr(5)));
        ++host.received_;
        for (const StoredObject &object : push.objects_)
            host.config_.apply(object);
        host.publisher_.relay(push);
    }

    std::vector<std::unique_ptr<Host>> hosts_;
};

// Guards against a host saturating its link for seconds by sending a configuration to all others
// itself. Case: 69 hosts, most of them with 10 Mbit/s.
TEST(ConfigPublisher, SendsToAllThroughTheHighCapacityHosts)
{
    PublishingFleet fleet;
    fleet.hosts_[0]->publisher_.publish({ zoneOut(7) });
    for (std::size_t i = 1; i < kHosts; ++i) {
        EXPECT_EQ(fleet.hosts_[i]->received_, 1U) << i;
        EXPECT_EQ(fleet.hosts_[i]->config_.versionOf(zoneOut(7).ref_), Version { 7 }) << i;
        const std::size_t maxSent = i < kHighCapacityHosts ? kMaxBranches : 1;
        EXPECT_LE(fleet.hosts_[i]->sent_, maxSent) << i;
    }
    EXPECT_EQ(fleet.hosts_[0]->sent_, kZones);
}

// Guards against every host publishing to all others at the start of a fleet, when every host reads
// the store.
TEST(ConfigPublisher, OnlyReadersPublishWhatTheyRead)
{
    PublishingFleet fleet;
    PublishingFleet::Host &host = *fleet.hosts_[0];
    host.config_.apply(zoneOut(7));
    host.publisher_.publishRead(false);
    EXPECT_EQ(host.sent_, 0U);
    host.publisher_.publishRead(true);
    EXPECT_EQ(host.sent_, 0U) << "others have read the object themselves";
    host.config_.apply(zoneOut(8));
    host.publisher_.publishRead(true);
    EXPECT_EQ(host.sent_, kZones);
}

// Guards against a back end that is in use after it has left: a reader withheld its entry because
// an object of another kind with a newer version had been relayed to the reader before.
TEST(ConfigPublisher, SendsAnObjectThatIsOlderThanARelayedOneOfAnotherKind)
{
    PublishingFleet fleet;
    Backend entry;
    entry.name_ = BackendName("s1");
    entry.service_ = ServiceName("map");
    entry.zone_ = ZoneName("serra-a");
    entry.address_ = Address { "10.0.0.1", 80 };
    entry.slots_ = 1;
    entry.connections_ = 1;
    const StoredObject backend {
        { ObjectKind::Backend, "s1" }, Version { 84 }, false, formatBackend(entry)
    };
    fleet.hosts_[1]->publisher_.publish({ zoneOut(89) });
    PublishingFleet::Host &reader = *fleet.hosts_[0];
    ASSERT_EQ(reader.received_, 1U);
    const std::size_t sent = reader.sent_;
    ASSERT_EQ(reader.config_.apply(backend), ApplyResult::Applied);
    reader.publisher_.publishRead(true);
    EXPECT_EQ(reader.sent_ - sent, kZones);
    EXPECT_EQ(fleet.hosts_[2]->config_.versionOf(backend.ref_), Version { 84 });
}

TEST(ConfigPublisher, DoesNotResendWhatAnotherHostPushed)
{
    PublishingFleet fleet;
    fleet.hosts_[0]->publisher_.publish({ zoneOut(7) });
    const std::size_t sent = fleet.hosts_[1]->sent_;
    fleet.hosts_[1]->publisher_.publishRead(true);
    EXPECT_EQ(fleet.hosts_[1]->sent_, sent);
}

} // namespace
