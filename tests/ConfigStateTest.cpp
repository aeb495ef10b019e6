#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/Generation.h"
#include "pimentostage/platform/ObjectCodec.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

StoredObject zone(const char *name, std::uint64_t version, ZoneState state)
{
    Zone zone;
    zone.name_ = ZoneName(name);
    zone.state_ = state;
    return StoredObject {
        { ObjectKind::Zone, name }, Version { version }, false, formatZone(zone)
    };
}

/// @return a back end's entry as written in @p generation of the store.
StoredObject backend(std::uint64_t generation, std::uint64_t revision, BackendState state,
                     std::uint64_t sequence)
{
    Backend backend;
    backend.name_ = BackendName("b");
    backend.service_ = ServiceName("huts");
    backend.zone_ = ZoneName("a");
    backend.address_ = { "10.0.0.1", 80 };
    backend.slots_ = 4;
    backend.connections_ = 1;
    backend.state_ = state;
    return StoredObject { { ObjectKind::Backend, "b" },
                          makeVersion(Generation { generation }, revision),
                          false,
                          formatBackend(backend),
                          { 1, sequence } };
}

/// @return a catalogue with one service, named @p service.
StoredObject catalogue(std::uint64_t generation, std::uint64_t revision, const char *service,
                       std::uint64_t sequence)
{
    Catalogue catalogue;
    Service row;
    row.name_ = ServiceName(service);
    catalogue.services_.push_back(row);
    return StoredObject { { ObjectKind::Catalogue, "main" },
                          makeVersion(Generation { generation }, revision),
                          false,
                          formatCatalogue(catalogue),
                          { 0, sequence } };
}

StoredObject deleted(const char *name, std::uint64_t version)
{
    return StoredObject { { ObjectKind::Zone, name }, Version { version }, true, {} };
}

TEST(ConfigState, NeverReturnsToAnOlderVersion)
{
    ConfigState state;
    EXPECT_EQ(state.apply(zone("a", 5, ZoneState::Out)), ApplyResult::Applied);
    EXPECT_EQ(state.apply(zone("a", 4, ZoneState::In)), ApplyResult::Older);
    EXPECT_EQ(state.apply(zone("a", 5, ZoneState::In)), ApplyResult::Unchanged);
    EXPECT_FALSE(state.configuration()->isZoneIn(ZoneName("a")));
}

TEST(ConfigState, DoesNotRestoreADeletedObject)
{
    ConfigState state;
    state.apply(zone("a", 5, ZoneState::Out));
    EXPECT_EQ(state.apply(deleted("a", 7)), ApplyResult::Applied);
    EXPECT_EQ(state.apply(zone("a", 6, ZoneState::Out)), ApplyResult::Older);
    EXPECT_TRUE(state.configuration()->zones_.empty());
}

TEST(ConfigState, KeepsTheCurrentVersionIfANewOneDoesNotParse)
{
    ConfigState state;
    state.apply(zone("a", 5, ZoneState::Out));
    StoredObject broken = zone("a", 6, ZoneState::In);
    broken.value_ = "{\"state\":\"sideways\"}";
    std::string error;
    EXPECT_EQ(state.apply(broken, &error), ApplyResult::Rejected);
    EXPECT_NE(error.find("zone/a"), std::string::npos);
    EXPECT_FALSE(state.configuration()->isZoneIn(ZoneName("a")));
}

TEST(ConfigState, ANewKeyOfTheSameNameReplacesTheFormerKey)
{
    ConfigState state;
    const auto setKey = [&](char digit, std::uint64_t version) {
        const std::string hash(64, digit);
        state.apply({ { ObjectKind::TeamKey, "caxias-1" },
                      Version { version },
                      false,
                      formatTeamKey(TeamKey { "caxias-1", TeamName("caxias"), hash }) });
        return hash;
    };
    const std::string first = setKey('a', 1);
    EXPECT_TRUE(state.configuration()->keysByHash_.contains(first));
    const std::string second = setKey('b', 2);
    EXPECT_FALSE(state.configuration()->keysByHash_.contains(first));
    EXPECT_TRUE(state.configuration()->keysByHash_.contains(second));
    state.apply({ { ObjectKind::TeamKey, "caxias-1" }, Version { 3 }, true, {} });
    EXPECT_TRUE(state.configuration()->keysByHash_.empty());
}

TEST(ConfigState, DeletesObjectsThatAreMissingFromAListing)
{
    ConfigState state;
    state.apply(zone("a", 5, ZoneState::Out));
    state.apply(zone("b", 9, ZoneState::Out));
    state.applyListing({ zone("c", 6, ZoneState::Out) }, Version { 8 });
    EXPECT_FALSE(state.configuration()->zones_.contains(ZoneName("a")));
    EXPECT_TRUE(state.configuration()->zones_.contains(ZoneName("b"))) << "newer than the listing";
    EXPECT_TRUE(state.configuration()->zones_.contains(ZoneName("c")));
}

TEST(ConfigState, MeasuresItsAgeFromTheSendTimeOfTheConfirmingRequest)
{
    ConfigState state;
    EXPECT_FALSE(state.age(TimePoint(1h)).has_value());
    state.confirm(TimePoint(1h));
    state.confirm(TimePoint(1h) - 1s);
    EXPECT_EQ(state.age(TimePoint(1h) + 2s), 2s);
}

// Guards against hosts whose metrics do not tell which catalogue decides their requests.
TEST(ConfigState, ReportsTheVersionOfTheCatalogueInForce)
{
    ConfigState state;
    EXPECT_EQ(state.configuration()->catalogueVersion_, Version {});
    state.apply(catalogue(0, 3, "huts", 1));
    EXPECT_EQ(state.configuration()->catalogueVersion_, Version { 3 });
    StoredObject invalid = catalogue(0, 4, "huts", 2);
    invalid.value_ = "{\"services\":1}";
    state.apply(invalid);
    EXPECT_EQ(state.configuration()->catalogueVersion_, Version { 3 });
}

// Guards against a confirmed change that is revoked: a store that was restored from a copy has an
// older catalogue with a newer version until the operators write again.
TEST(ConfigState, KeepsTheCatalogueUntilARestoredStoreHasItAgain)
{
    ConfigState state;
    const auto inForce = [&](const char *name) {
        return state.configuration()->services_.contains(ServiceName(name));
    };
    state.apply(catalogue(1, 9, "new", 5));
    EXPECT_EQ(state.apply(catalogue(2, 4, "old", 3)), ApplyResult::Older);
    EXPECT_TRUE(inForce("new"));
    EXPECT_EQ(state.apply(catalogue(2, 6, "new", 5)), ApplyResult::Applied);
    EXPECT_EQ(state.apply(catalogue(2, 7, "newest", 8)), ApplyResult::Applied);
    EXPECT_TRUE(inForce("newest"));
}

// Guards against two hosts that count as equal with different content: a restored store gives its
// revisions out again.
TEST(ConfigState, DigestsDifferForTheSameRevisionInTwoGenerations)
{
    ConfigState before;
    ConfigState after;
    before.apply(catalogue(1, 9, "old", 5));
    after.apply(catalogue(2, 9, "new", 6));
    EXPECT_NE(before.confirmedDigest(), after.confirmedDigest());
    EXPECT_EQ(before.apply(catalogue(2, 9, "new", 6)), ApplyResult::Applied);
    EXPECT_EQ(before.confirmedDigest(), after.confirmedDigest());
}

// Guards against an invalid catalogue that replaces a valid one because its generation is newer.
TEST(ConfigState, RejectsAnInvalidCatalogueOfARestoredStore)
{
    ConfigState state;
    state.apply(catalogue(1, 9, "new", 5));
    StoredObject invalid = catalogue(2, 10, "newest", 6);
    invalid.value_ = "{\"services\":7}";
    EXPECT_EQ(state.apply(invalid), ApplyResult::Rejected);
    EXPECT_TRUE(state.configuration()->services_.contains(ServiceName("new")));
}

// Guards against requests to a back end that is draining: a restored store has the entry that it
// had while it was ready.
TEST(ConfigState, ABackendKeepsDrainingIfARestoredStoreHasItAsReady)
{
    ConfigState state;
    state.apply(backend(1, 8, BackendState::Draining, 4));
    EXPECT_EQ(state.apply(backend(2, 5, BackendState::Ready, 3)), ApplyResult::Older);
    EXPECT_EQ(state.configuration()->backends_.at(BackendName("b")).state_, BackendState::Draining);
}

// Guards against requests to a back end that has left: a restored store has its entry again.
TEST(ConfigState, ABackendThatHasLeftStaysDeletedInARestoredStore)
{
    ConfigState state;
    state.apply(backend(1, 5, BackendState::Ready, 3));
    state.apply({ { ObjectKind::Backend, "b" }, makeVersion(Generation { 1 }, 8), true, {} });
    EXPECT_EQ(state.apply(backend(2, 5, BackendState::Ready, 3)), ApplyResult::Older);
    EXPECT_TRUE(state.configuration()->backends_.empty());
    EXPECT_EQ(state.apply(backend(2, 9, BackendState::Ready, 4)), ApplyResult::Applied)
        << "written by its process since";
}

// Guards against requests to the former owners of keys: a restored store has an older placement,
// and the coordinator, which holds the newer one, writes only when it changes something.
TEST(ConfigState, KeepsThePlacementOfRangesUntilTheCoordinatorWritesAgain)
{
    const auto ranges = [](std::uint64_t generation, std::uint64_t revision, std::uint64_t epoch) {
        RangePlacement placement;
        placement.service_ = ServiceName("permits");
        placement.epoch_ = Epoch { epoch };
        placement.roleEpoch_ = Epoch { 1 };
        placement.nonce_ = "n";
        placement.ranges_ = { RangeOwner { { 0, kLastOrderedKey }, {}, {}, {} } };
        return StoredObject { { ObjectKind::RangePlacement, "permits" },
                              makeVersion(Generation { generation }, revision),
                              false,
                              formatRangePlacement(placement) };
    };
    ConfigState state;
    EXPECT_EQ(state.apply(ranges(1, 9, 7)), ApplyResult::Applied);
    EXPECT_EQ(state.apply(ranges(2, 4, 5)), ApplyResult::Older);
    EXPECT_EQ(state.apply(ranges(2, 6, 8)), ApplyResult::Applied);
}

// Guards against hosts that stay different after the store was restored.
RC_GTEST_PROP(ConfigStateProperty, OrderOfArrivalDoesNotMatterAcrossGenerations, ())
{
    std::vector<StoredObject> objects;
    for (std::uint64_t step = 1; step <= 4; ++step)
        objects.push_back(backend(1, step, BackendState::Ready, step));
    for (std::uint64_t step = 3; step <= 6; ++step)
        objects.push_back(backend(2, step, BackendState::Ready, step));
    ConfigState ordered;
    for (const StoredObject &object : objects)
        ordered.apply(object);
    std::mt19937 engine(*rc::gen::arbitrary<std::uint32_t>());
    std::shuffle(objects.begin(), objects.end(), engine);
    ConfigState shuffled;
    for (const StoredObject &object : objects)
        shuffled.apply(object);
    RC_ASSERT(ordered.digest() == shuffled.digest());
}

// Versions may arrive in any order, repeatedly or not at all. Hosts that have received the newest
// version of each object have the same digest.
RC_GTEST_PROP(ConfigStateProperty, OrderOfArrivalDoesNotMatter, ())
{
    std::vector<StoredObject> objects;
    for (std::uint64_t version = 1; version <= 12; ++version) {
        const char *name = version % 3 == 0 ? "a" : version % 3 == 1 ? "b" : "c";
        objects.push_back(*rc::gen::arbitrary<bool>() ? zone(name, version, ZoneState::Out)
                                                      : deleted(name, version));
    }
    ConfigState ordered;
    for (const StoredObject &object : objects)
        ordered.apply(object);
    ConfigState shuffled;
    for (int i = 0; i < 40; ++i)
        shuffled.apply(objects[*rc::gen::inRange<std::size_t>(0, objects.size())]);
    for (std::size_t i = objects.size() - 3; i < objects.size(); ++i)
        shuffled.apply(objects[i]);
    RC_ASSERT(ordered.digest() == shuffled.digest());
}

// Guards against confirmations that are ignored: registrations and roles change all the time while
// a fleet starts, and hosts whose digests differed in those did not accept each other's
// confirmation of the configuration.
TEST(ConfigState, AcceptsAConfirmationIfOnlyUncoveredKindsDiffer)
{
    ConfigState here({ ObjectKind::Zone });
    ConfigState there({ ObjectKind::Zone });
    const ObjectRef zone { ObjectKind::Zone, "serra-a" };
    const std::string out
        = formatZone(Zone { ZoneName("serra-a"), ZoneState::Out, Duration::zero() });
    const EntryHost entry { HostName("entry-1"), Incarnation { 1 }, ZoneName("serra-a"),
                            Address { "10.0.0.1", 7350 } };
    here.apply({ zone, Version { 1 }, false, out });
    here.apply(
        { { ObjectKind::EntryHost, "entry-1" }, Version { 2 }, false, formatEntryHost(entry) });
    there.apply({ zone, Version { 1 }, false, out });
    EXPECT_NE(here.digest(), there.digest());
    there.confirm(TimePoint(1h));
    here.confirmThroughSibling(there.confirmedDigest(), 10ms, TimePoint(1h));
    EXPECT_TRUE(here.age(TimePoint(1h)));
}

TEST(ConfigState, IgnoresAConfirmationOfADifferentState)
{
    ConfigState here({ ObjectKind::Zone });
    ConfigState there({ ObjectKind::Zone });
    there.apply({ { ObjectKind::Zone, "serra-a" },
                  Version { 1 },
                  false,
                  formatZone(Zone { ZoneName("serra-a"), ZoneState::Out, Duration::zero() }) });
    here.confirmThroughSibling(there.confirmedDigest(), 10ms, TimePoint(1h));
    EXPECT_FALSE(here.age(TimePoint(1h)));
}

// Found by CoreFuzz with seed 512: a host that had just started pulled all objects from a host that
// could not reach the store, and applied a withdrawn key that was missing from its own listing.
TEST(ConfigState, DoesNotRestoreADeletedObjectFromASibling)
{
    ConfigState state;
    const ObjectRef zone { ObjectKind::Zone, "serra-a" };
    const std::string out
        = formatZone(Zone { ZoneName("serra-a"), ZoneState::Out, Duration::zero() });
    state.applyListing({}, Version { 9 });
    state.adoptRevision(Version { 9 });
    EXPECT_EQ(state.applyFromSibling({ zone, Version { 4 }, false, out }), ApplyResult::Older);
    EXPECT_TRUE(state.configuration()->zones_.empty());
    EXPECT_EQ(state.applyFromSibling({ zone, Version { 10 }, false, out }), ApplyResult::Applied);
    EXPECT_EQ(state.configuration()->zones_.size(), 1U);
}

// A host that has missed a change up to its adopted revision gets it by reading the store.
TEST(ConfigState, AppliesAMissedOlderObjectFromTheStore)
{
    ConfigState state;
    state.adoptRevision(Version { 9 });
    const StoredObject missed { { ObjectKind::Zone, "serra-a" },
                                Version { 4 },
                                false,
                                formatZone(Zone { ZoneName("serra-a"), ZoneState::Out,
                                                  Duration::zero() }) };
    EXPECT_EQ(state.apply(missed), ApplyResult::Applied);
    EXPECT_EQ(state.configuration()->zones_.size(), 1U);
}

} // namespace
