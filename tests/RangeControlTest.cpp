#include "src/daemon/RangeControl.h"
#include "src/daemon/CoordinatorRole.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/FakeRangeLink.h"
#include "tests/fakes/NullLog.h"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTick = 10ms;

/// The coordinator of a service with two back ends, one of which another process replaces at its
/// address.
class ReplacedProcessTest : public testing::Test
{
protected:
    ReplacedProcessTest()
        : control_(
            store_, link_, {}, [this] { return now_; },
            [](const RoleName &, TimePoint) { return true; },
            [](const BackendName &) { return 1.0; }, 1, log_, metrics_, [](const StoredObject &) {})
    {
        addService(service_);
        addService(otherService_);
        addBackend("former", service_, Incarnation { 100 }, address_);
        addBackend("stays", service_, Incarnation { 100 }, otherAddress_);
        control_.onRoleGained(coordinatorRoleOf(service_), Epoch { 1 }, now_);
        run(3s);
    }

    void addService(const ServiceName &name)
    {
        Service service;
        service.name_ = name;
        service.keyed_ = true;
        service.division_ = KeyDivision::Ordered;
        configuration_.services_[name] = service;
    }

    void addBackend(const char *name, const ServiceName &service, Incarnation incarnation,
                    const Address &address)
    {
        Backend backend;
        backend.name_ = BackendName(name);
        backend.service_ = service;
        backend.address_ = address;
        backend.slots_ = 6;
        backend.incarnation_ = incarnation;
        configuration_.backends_[backend.name_] = backend;
        control_.onConfig(configuration_, {});
    }

    void run(Duration time)
    {
        for (const TimePoint until = now_ + time; now_ < until; now_ += kTick)
            control_.tick(now_);
    }

    /// @return the highest epoch of the grants sent to @p address.
    Epoch highestEpochAt(const Address &address) const
    {
        Epoch highest;
        for (const auto &[to, order] : link_.grants_)
            highest = to == address ? std::max(highest, order.epoch_) : highest;
        return highest;
    }

    /// @return the lowest epoch of the grants sent to @p address from number @p first on.
    Epoch lowestEpochAt(const Address &address, std::size_t first) const
    {
        Epoch lowest { std::numeric_limits<std::uint64_t>::max() };
        for (std::size_t i = first; i < link_.grants_.size(); ++i) {
            const auto &[to, order] = link_.grants_[i];
            lowest = to == address ? std::min(lowest, order.epoch_) : lowest;
        }
        return lowest;
    }

    const ServiceName service_ { "map" };
    const ServiceName otherService_ { "huts" };
    const Address address_ { "10.0.0.1", 80 };
    const Address otherAddress_ { "10.0.0.2", 80 };
    TimePoint now_ { 1h };
    FakeObjectStore store_;
    FakeRangeLink link_;
    NullLog log_;
    MetricRegistry metrics_;
    Configuration configuration_;
    RangeControl control_;
};

// Guards against two back ends with one epoch: the entry of the process that had ended remained for
// 2 s, and meanwhile its ranges were renewed at its address, where another back end had registered
// (natalina-serra-grown, back ends that return within 0.6 s).
TEST_F(ReplacedProcessTest, ItsEpochsAreNotGivenToTheNextAtItsAddress)
{
    const Epoch before = highestEpochAt(address_);
    ASSERT_GT(before, Epoch {});
    const std::size_t first = link_.grants_.size();
    link_.closeConnection();
    addBackend("next", service_, Incarnation { 200 }, address_);
    run(2s);
    EXPECT_GT(lowestEpochAt(address_, first), before);
}

// As above, for a process with the name of the former one, while the store does not take the
// placement that names it.
TEST_F(ReplacedProcessTest, GetsNoGrantWhileThePlacementOfItsSuccessorIsNotWritten)
{
    const Epoch before = highestEpochAt(address_);
    ASSERT_GT(before, Epoch {});
    const std::size_t first = link_.grants_.size();
    store_.loseWrites_ = std::numeric_limits<int>::max();
    addBackend("former", service_, Incarnation { 200 }, address_);
    run(2s);
    EXPECT_GT(lowestEpochAt(address_, first), before);
    store_.loseWrites_ = 0;
    run(2s);
    EXPECT_GT(lowestEpochAt(address_, first), before);
    EXPECT_GT(highestEpochAt(address_), before) << "it gets ranges again";
}

// Guards against back ends that stop work on keys which another coordinator has granted to them: a
// release for a process that had ended went to its address, by then that of another service.
TEST_F(ReplacedProcessTest, IsSentNoReleaseAtTheAddressOfAnotherService)
{
    configuration_.backends_.erase(BackendName("former"));
    addBackend("foreign", otherService_, Incarnation { 200 }, address_);
    run(4s);
    const auto isForeign = [&](const auto &sent) { return sent.first == address_; };
    EXPECT_EQ(std::count_if(link_.releases_.begin(), link_.releases_.end(), isForeign), 0);
    EXPECT_EQ(control_.movingRanges(), 0U) << "its holds have expired";
}

/// A coordinator whose authority, orders and writes a test holds up.
class LapsedAuthorityTest : public testing::Test
{
protected:
    LapsedAuthorityTest()
        : control_(
            store_, link_, {}, [this] { return now_; },
            [this](const RoleName &, TimePoint) { return holds_; },
            [](const BackendName &) { return 1.0; }, 1, log_, metrics_, [](const StoredObject &) {})
    {
        Service &service = configuration_.services_[service_];
        service.name_ = service_;
        service.keyed_ = true;
        service.division_ = KeyDivision::Ordered;
        addBackend("x", "10.0.0.1");
    }

    void addBackend(const char *name, const char *ip)
    {
        Backend &backend = configuration_.backends_[BackendName(name)];
        backend.name_ = BackendName(name);
        backend.service_ = service_;
        backend.address_ = { ip, 80 };
        backend.slots_ = 6;
        backend.incarnation_ = Incarnation { 100 };
        control_.onConfig(configuration_, {});
    }

    void run(Duration time)
    {
        for (const TimePoint until = now_ + time; now_ < until; now_ += kTick)
            control_.tick(now_);
    }

    /// Gains the role, loses it while the reply to the first write is held up, and gains it again
    /// under @p epoch; the second write is lost. Then the reply to the first arrives.
    void regainRoleDuringWrite(Epoch epoch)
    {
        store_.holdsReplies_ = true;
        control_.onRoleGained(role_, Epoch { 1 }, now_);
        run(2s);
        ASSERT_EQ(store_.heldReplies_.size(), 1U);
        control_.onRoleLost(role_);
        store_.loseWrites_ = 1;
        control_.onRoleGained(role_, epoch, now_);
        run(50ms);
        ASSERT_EQ(store_.heldReplies_.size(), 2U);
        store_.heldReplies_.front()();
        run(100ms);
    }

    const ServiceName service_ { "map" };
    const RoleName role_ = coordinatorRoleOf(service_);
    TimePoint now_ { 1h };
    bool holds_ = true;
    FakeObjectStore store_;
    FakeRangeLink link_;
    NullLog log_;
    MetricRegistry metrics_;
    Configuration configuration_;
    RangeControl control_;
};

// Guards against a service that gets no more grants: the reply to a grant arrived while the
// authority had lapsed, and was dropped; the store restored the authority before the role was lost.
TEST_F(LapsedAuthorityTest, GrantsAreRenewedAfterAReplyToOneWasDropped)
{
    control_.onRoleGained(role_, Epoch { 1 }, now_);
    run(3s);
    ASSERT_FALSE(link_.grants_.empty());
    link_.holdsGrants_ = true;
    run(800ms);
    ASSERT_EQ(link_.heldGrants_.size(), 1U);
    holds_ = false;
    link_.heldGrants_.front()();
    holds_ = true;
    const std::size_t before = link_.grants_.size();
    run(1s);
    EXPECT_GT(link_.grants_.size(), before);
}

// The same with the reply to a write of the placement.
TEST_F(LapsedAuthorityTest, GrantsBeginAfterAReplyToAWriteWasDropped)
{
    store_.holdsReplies_ = true;
    control_.onRoleGained(role_, Epoch { 1 }, now_);
    run(2s);
    ASSERT_EQ(store_.heldReplies_.size(), 1U);
    holds_ = false;
    store_.holdsReplies_ = false;
    store_.heldReplies_.front()();
    holds_ = true;
    run(1s);
    EXPECT_FALSE(link_.grants_.empty());
}

// Guards against two processes with one epoch: the reply to a write from before the role was lost
// and gained again confirmed a later write, whose epochs the store did not reserve.
TEST_F(LapsedAuthorityTest, AReplyFromBeforeTheRoleWasRegainedConfirmsNothing)
{
    regainRoleDuringWrite(Epoch { 2 });
    EXPECT_TRUE(link_.grants_.empty()) << "no write of this term of the role is confirmed";
    store_.holdsReplies_ = false;
    store_.heldReplies_.back()();
    run(2s);
    EXPECT_FALSE(link_.grants_.empty());
}

} // namespace
