#include "src/daemon/HostRegistrar.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "tests/fakes/FakeObjectStore.h"
#include "tests/fakes/RecordingLog.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

ObjectRef refOf(const char *host)
{
    return { ObjectKind::EntryHost, host };
}

class HostRegistrarTest : public testing::Test
{
protected:
    HostRegistrarTest()
    {
        self_.member_ = Member { HostName("a"), Incarnation { 7 } };
        self_.zone_ = ZoneName("north");
        self_.address_ = Address { "10.0.0.1", 7100 };
        registrar_ = std::make_unique<HostRegistrar>(
            self_, store_, config_,
            [this](Duration, std::function<void()> task) { later_.push_back(std::move(task)); },
            Random(1), log_, [this](const StoredObject &object) { config_.apply(object); });
    }

    void runLater()
    {
        const std::vector<std::function<void()>> tasks = std::exchange(later_, {});
        for (const auto &task : tasks)
            task();
    }

    /// Puts an entry of another host into the store and the configuration.
    void add(const char *host, Incarnation incarnation = { 3 })
    {
        const EntryHost entry { HostName(host), incarnation, ZoneName("north"),
                                Address { "10.0.0.9", 7100 } };
        store_.set(refOf(host), formatEntryHost(entry));
        config_.apply(store_.find(refOf(host)));
    }

    MemberUpdate self_;
    FakeObjectStore store_;
    ConfigState config_;
    RecordingLog log_;
    std::vector<std::function<void()>> later_;
    std::unique_ptr<HostRegistrar> registrar_;
};

TEST_F(HostRegistrarTest, RetriesUntilItsEntryIsStored)
{
    store_.loseWrites_ = 2;
    registrar_->start();
    EXPECT_TRUE(store_.find(refOf("a")).deleted_);
    runLater();
    runLater();
    EXPECT_FALSE(store_.find(refOf("a")).deleted_);
    EXPECT_TRUE(config_.configuration()->entryHosts_.contains(HostName("a")));
}

TEST_F(HostRegistrarTest, RecognizesItsEntryAfterALostAnswer)
{
    store_.loseAnswers_ = 1;
    registrar_->start();
    runLater();
    EXPECT_TRUE(later_.empty());
    EXPECT_TRUE(config_.configuration()->entryHosts_.contains(HostName("a")));
}

TEST_F(HostRegistrarTest, ReplacesTheEntryOfItsPreviousProcess)
{
    add("a");
    registrar_->start();
    EXPECT_EQ(config_.configuration()->entryHosts_.at(HostName("a")).incarnation_,
              Incarnation { 7 });
}

// Guards against the entry of a permanently replaced host making every later holder of an account
// group wait for that host's allowance leases (seen in natalina-serra trouble-3).
TEST_F(HostRegistrarTest, RemovesAHostAfterALongAbsence)
{
    registrar_->start();
    add("gone");
    const std::set<HostName> view { HostName("a") };
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), view, now);
    registrar_->removeAbsent(*config_.configuration(), view,
                             now + HostRegistrar::kAbsenceTimeout - 1ms);
    EXPECT_FALSE(store_.find(refOf("gone")).deleted_);
    registrar_->removeAbsent(*config_.configuration(), view, now + HostRegistrar::kAbsenceTimeout);
    EXPECT_TRUE(store_.find(refOf("gone")).deleted_);
    EXPECT_FALSE(config_.configuration()->entryHosts_.contains(HostName("gone")));
}

TEST_F(HostRegistrarTest, AHostThatReturnsInTimeKeepsItsEntry)
{
    registrar_->start();
    add("back");
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), { HostName("a") }, now);
    registrar_->removeAbsent(*config_.configuration(), { HostName("a"), HostName("back") },
                             now + 4s);
    registrar_->removeAbsent(*config_.configuration(), { HostName("a") }, now + 8s);
    EXPECT_FALSE(store_.find(refOf("back")).deleted_);
}

TEST_F(HostRegistrarTest, RegisteringAgainRestartsTheAbsenceTimeout)
{
    registrar_->start();
    add("back");
    const std::set<HostName> view { HostName("a") };
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), view, now);
    registrar_->removeAbsent(*config_.configuration(), view, now + 4s);
    registrar_->removeAbsent(*config_.configuration(), view, now + HostRegistrar::kAbsenceTimeout);
    ASSERT_TRUE(store_.find(refOf("back")).deleted_);
    registrar_->removeAbsent(*config_.configuration(), view, now + 9s);
    add("back");
    // Registered, but not in this host's view yet.
    registrar_->removeAbsent(*config_.configuration(), view, now + 11s);
    EXPECT_FALSE(store_.find(refOf("back")).deleted_);
}

TEST_F(HostRegistrarTest, AnAbsenceOfTheFormerProcessDoesNotCount)
{
    registrar_->start();
    add("back");
    const std::set<HostName> view { HostName("a") };
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), view, now);
    registrar_->removeAbsent(*config_.configuration(), view, now + 4s);
    // Registered, but not in this host's view yet.
    add("back", Incarnation { 9 });
    registrar_->removeAbsent(*config_.configuration(), view, now + HostRegistrar::kAbsenceTimeout);
    EXPECT_FALSE(store_.find(refOf("back")).deleted_);
    registrar_->removeAbsent(*config_.configuration(), view, now + 9s);
    registrar_->removeAbsent(*config_.configuration(), view,
                             now + 2 * HostRegistrar::kAbsenceTimeout);
    EXPECT_TRUE(store_.find(refOf("back")).deleted_);
}

TEST_F(HostRegistrarTest, AnAbsenceFromAnEarlierTermDoesNotCount)
{
    registrar_->start();
    add("back");
    const std::set<HostName> view { HostName("a") };
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), view, now);
    // Meanwhile another host held the role, and the absent host returned.
    registrar_->removeAbsent(*config_.configuration(), view, now + 60s);
    EXPECT_FALSE(store_.find(refOf("back")).deleted_);
}

TEST_F(HostRegistrarTest, WritesItsEntryAgainIfAnotherHostRemovedIt)
{
    registrar_->start();
    const StoredObject entry = store_.find(refOf("a"));
    store_.remove(refOf("a"), entry.version_, [](const Reply<WriteResult> &) {});
    config_.apply(StoredObject { refOf("a"), entry.version_.next(), true, {} });
    registrar_->restoreIfRemoved(*config_.configuration());
    EXPECT_FALSE(store_.find(refOf("a")).deleted_);
}

TEST_F(HostRegistrarTest, APlannedStopRemovesItsEntryPermanently)
{
    registrar_->start();
    bool isDone = false;
    registrar_->unregister([&] { isDone = true; });
    EXPECT_TRUE(isDone);
    EXPECT_TRUE(store_.find(refOf("a")).deleted_);
    registrar_->restoreIfRemoved(*config_.configuration());
    EXPECT_TRUE(store_.find(refOf("a")).deleted_);
}

// Guards against an entry of a host that is gone staying in the store, with no line that says why.
TEST_F(HostRegistrarTest, LogsARemovalThatFails)
{
    registrar_->start();
    add("gone");
    store_.loseWrites_ = 1;
    const std::set<HostName> view { HostName("a") };
    const TimePoint now { 1h };
    registrar_->removeAbsent(*config_.configuration(), view, now);
    registrar_->removeAbsent(*config_.configuration(), view, now + 4s);
    registrar_->removeAbsent(*config_.configuration(), view, now + HostRegistrar::kAbsenceTimeout);
    EXPECT_EQ(log_.count({ "host-removal-failed", R"("host":"gone")", "lost" }), 1U);
    EXPECT_EQ(log_.count({ "host-removed" }), 0U);
}

// Guards against a removal that is lost without a line: another host has written the entry since.
TEST_F(HostRegistrarTest, LogsARemovalThatTheStoreRefuses)
{
    registrar_->start();
    const EntryHost entry { HostName("a"), Incarnation { 8 }, ZoneName("north"),
                            Address { "10.0.0.9", 7100 } };
    store_.set(refOf("a"), formatEntryHost(entry));
    bool isDone = false;
    registrar_->unregister([&] { isDone = true; });
    EXPECT_TRUE(isDone);
    EXPECT_EQ(log_.count({ "host-removal-failed", R"("host":"a")", "another version" }), 1U);
}

// Guards against a host that is missing from the store with no line that says why: its write fails.
TEST_F(HostRegistrarTest, LogsAWriteThatFails)
{
    store_.loseWrites_ = 1;
    registrar_->start();
    EXPECT_EQ(log_.count({ "registration-failed", "lost" }), 1U);
}

} // namespace
