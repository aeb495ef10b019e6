#include "pimentostage/base/Hash.h"
#include "pimentostage/operator/Settings.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/backend/GrantCodec.h"
#include "src/platform/StoreCodec.h"
#include "src/sibling/FrameCodec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes payloadOf(const SiblingMessage &message)
{
    const Bytes frame = encodeFrame(message);
    return { frame.begin() + kFrameLengthBytes, frame.end() };
}

/// @return the message in @p payload, or nullopt if it was rejected.
std::optional<SiblingMessage> decoded(const Bytes &payload)
{
    return valueOr(
        [&]() -> leaf::result<std::optional<SiblingMessage>> {
            BOOST_LEAF_AUTO(message, decodeFrame(payload));
            return std::optional<SiblingMessage>(std::move(message));
        },
        [](const Error &error) {
            EXPECT_EQ(error.step_, Step::DecodeFrame);
            EXPECT_EQ(error.peer_.kind_, PeerKind::Sibling);
            return std::optional<SiblingMessage>();
        });
}

std::vector<SiblingMessage> sampleMessages()
{
    MemberUpdate self;
    self.member_ = Member { HostName("entry-1"), Incarnation { 77 } };
    self.address_ = Address { "10.0.0.1", 7350 };
    self.zone_ = ZoneName("serra-a");
    self.liveness_ = Liveness::Suspect;
    const ConfigSummary summary { Version { 9 },
                                  12345,
                                  678,
                                  250ms,
                                  { { KnowledgeArea::Backends, 91, 1s },
                                    { KnowledgeArea::Zones, 92, std::nullopt } } };
    const StoredObject object { { ObjectKind::Zone, "a" }, Version { 3 }, false, "{}" };
    AllowanceRequest request;
    request.account_ = AccountName("team/caxias");
    request.lastLeaseId_ = { Epoch { 2 }, 5 };
    request.demand_ = 1.5;
    request.heldValidity_ = 3s;
    AllowanceLease lease;
    lease.account_ = request.account_;
    lease.rate_ = 2.25;
    const RoleName role("coordinator.permits");
    Grant grant;
    grant.service_ = ServiceName("permits");
    grant.roleEpoch_ = Epoch { 4 };
    grant.stamp_ = { Incarnation { 77 }, 12s };
    grant.units_
        = GrantedUnits { { UnitName("s1"), Epoch { 6 } }, { UnitName("s2"), Epoch { 9 } } };
    GrantReply reply;
    reply.result_ = GrantResult::UnknownUnits;
    reply.draining_ = { UnitName("s3") };
    const ExposureUse use { Incarnation { 77 }, Epoch { 3 }, 4, 120, 6, true };
    RouteOutcomes outcomes;
    outcomes.route_ = RouteName("read");
    outcomes.current_.record(true, 5ms);
    outcomes.target_.record(false, 5ms);
    const ExposureLease exposure { Incarnation { 77 }, Epoch { 3 }, 7, 12, 1s, 3s, false };
    return { Hello { self },
             Probe { HostName("a"), HostName("b"), 4, { self }, summary },
             ProbeAck { HostName("a"), HostName("b"), 4, { self, self }, {} },
             ConfigPull { Version { 8 } },
             ConfigPush { Version { 9 }, { object }, { HostName("entry-2") } },
             PromiseRequest { role, Epoch { 3 }, 5s },
             PromiseReply { role, Epoch { 3 }, 5s },
             ReleaseRequest { role, Epoch { 3 } },
             ReleaseReply { role, Epoch { 3 }, 600ms },
             StepDown { role, Epoch { 3 } },
             AllowanceRequests { { request }, 7s, role, Epoch { 3 } },
             AllowanceReplies { { lease }, 7s, role, Epoch { 3 } },
             AllowanceReclaim { { request.account_ } },
             BackendColdState { BackendName("permits-1"), true },
             KeyLoad { ServiceName("permits"), 20, { { "k1", 4.5 } } },
             RouterGrant { grant },
             RouterGrantReply { grant.service_, reply },
             LeavingHostsPull {},
             LeavingHosts { { "permits-1" } },
             RoomReport { { { 4'000'000'000, 4, 16, 120, false, 80 } } },
             VersionOutcomeReport { grant.service_, "v2", 3s, use, { outcomes } },
             ExposureLeases { grant.service_, "v2", 3s, exposure } };
}

// Guards against the end of the process by a frame of nested arrays: the reader recurses for each
// level and exceeded the thread's stack.
TEST(FrameCodec, RejectsAPayloadOfDeeplyNestedArrays)
{
    const std::uint8_t arrayOfOne = 0x91; // in MessagePack
    EXPECT_FALSE(decoded(Bytes(1'000'000, arrayOfOne)).has_value());
}

TEST(FrameCodec, EveryMessageTypeRoundTrips)
{
    const std::vector<SiblingMessage> messages = sampleMessages();
    ASSERT_EQ(messages.size(), std::variant_size_v<SiblingMessage>);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        ASSERT_EQ(messages[i].index(), i);
        const auto back = decoded(payloadOf(messages[i]));
        ASSERT_TRUE(back.has_value()) << i;
        EXPECT_EQ(back->index(), i);
        EXPECT_EQ(encodeFrame(*back), encodeFrame(messages[i])) << i;
    }
}

TEST(FrameCodec, LengthPrefixIsThePayloadLength)
{
    const Bytes frame = encodeFrame(ConfigPull { Version { 8 } });
    EXPECT_EQ(frameLength(frame.data()), frame.size() - kFrameLengthBytes);
}

/// @return a message with a catalogue of @p routes.
ConfigPush catalogueOf(std::size_t routes)
{
    Catalogue catalogue;
    for (std::size_t i = 0; i < routes; ++i) {
        Route &route = catalogue.routes_.emplace_back();
        route.name_ = RouteName("r" + std::to_string(hash64(std::to_string(i))));
        route.host_ = "a.example";
        route.prefix_ = "/" + std::to_string(hash64("prefix" + std::to_string(i))) + "/";
        route.services_ = { { ServiceName("huts"), 1 } };
    }
    ConfigPush push;
    push.objects_.push_back(
        { { ObjectKind::Catalogue, "main" }, Version { 9 }, false, formatCatalogue(catalogue) });
    return push;
}

// Guards against links that are full for seconds after a catalogue of thousands of routes has
// changed: each host receives it, and some relay it to several others (incident DENIED).
TEST(FrameCodec, ALargeCatalogueTakesAFractionOfItsSize)
{
    const ConfigPush push = catalogueOf(4000);
    const std::size_t size = push.objects_.front().value_.size();
    ASSERT_GT(size, 900'000U);
    EXPECT_LT(encodeFrame(push).size(), size / 5);
    const auto back = decoded(payloadOf(push));
    ASSERT_TRUE(back.has_value());
    EXPECT_EQ(std::get<ConfigPush>(*back).objects_.front().value_, push.objects_.front().value_);
}

// Guards against a compressed payload that is cut, altered or too large when it is inflated.
TEST(FrameCodec, RejectsACompressedPayloadThatIsNotWhole)
{
    const Bytes payload = payloadOf(catalogueOf(1000));
    ASSERT_TRUE(decoded(payload).has_value());
    for (std::size_t size : { std::size_t { 1 }, std::size_t { 4 }, std::size_t { 5 },
                              payload.size() / 2, payload.size() - 1 })
        EXPECT_FALSE(decoded(Bytes(payload.begin(), payload.begin() + size)).has_value()) << size;
    Bytes longer = payload;
    longer.push_back(0);
    EXPECT_FALSE(decoded(longer).has_value());
    for (std::size_t position = 1; position < 5; ++position) {
        Bytes otherSize = payload;
        otherSize[position] ^= 1;
        EXPECT_FALSE(decoded(otherSize).has_value()) << position;
    }
}

TEST(FrameCodec, RejectsUnknownMessagesAndOtherVersions)
{
    EXPECT_FALSE(decoded({}).has_value());
    EXPECT_FALSE(decoded({ 0xc0 }).has_value());
    EXPECT_FALSE(decoded({ 0x93, 0x01, 0x7f, 0x90 }).has_value()) << "message 127";
    EXPECT_FALSE(decoded({ 0x93, 0x02, 0x03, 0x91, 0x08 }).has_value()) << "protocol 2";
    EXPECT_TRUE(decoded({ 0x93, 0x01, 0x03, 0x91, 0x08 }).has_value());
    EXPECT_FALSE(decoded({ 0x93, 0x01, 0x03, 0x92, 0x08, 0x08 }).has_value())
        << "one field too many";
    EXPECT_FALSE(decoded({ 0x93, 0x01, 0x03, 0x91, 0xa1, 0x78 }).has_value())
        << "text instead of a version";
}

RC_GTEST_PROP(FrameCodecProperty, HandlesArbitraryBytes, (const std::vector<std::uint8_t> &bytes))
{
    decoded(bytes);
}

RC_GTEST_PROP(FrameCodecProperty, HandlesMutatedFrames, ())
{
    auto messages = sampleMessages();
    messages.emplace_back(catalogueOf(100));
    Bytes payload = payloadOf(messages[*rc::gen::inRange<std::size_t>(0, messages.size())]);
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; ++i)
        payload[*rc::gen::inRange<std::size_t>(0, payload.size())]
            = *rc::gen::arbitrary<std::uint8_t>();
    if (*rc::gen::arbitrary<bool>())
        payload.resize(*rc::gen::inRange<std::size_t>(0, payload.size()));
    const auto message = decoded(payload);
    // A payload that is accepted can be encoded again.
    if (message)
        RC_ASSERT(!encodeFrame(*message).empty());
}

/// Checks an object and returns whether it was accepted. An error must name the object.
bool isAccepted(const ObjectRef &ref, const std::string &value)
{
    return valueOr(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(checkObject(ref, value));
            return true;
        },
        [&](const Error &error) {
            EXPECT_EQ(error.step_, Step::ParseObject);
            EXPECT_EQ(error.peer_.name_, ref.str());
            return false;
        });
}

std::vector<std::string> sampleValues()
{
    Placement placement;
    placement.service_ = ServiceName("x");
    placement.epoch_ = Epoch { 4 };
    placement.shards_ = { { BackendName("a"), Epoch { 3 } }, { BackendName("b"), Epoch { 4 } } };
    placement.hotKeys_ = { { "k", { BackendName("b"), Epoch { 4 } } } };
    RoleRecord record;
    record.epoch_ = Epoch { 2 };
    record.holder_ = Member { HostName("h"), Incarnation { 1 } };
    record.members_ = { record.holder_ };
    record.predecessors_ = { { Epoch { 1 }, record.holder_, { record.holder_ } } };
    record.rule_ = TermRule::Bounded;
    record.challenger_ = HostName("c");
    Contract contract;
    contract.rate_ = 10;
    contract.burst_ = 5;
    contract.connections_ = 3;
    const Rollout rollout { { ServiceName("x"), "v2", 12s }, "c-1" };
    RolloutState rolloutState;
    rolloutState.rollout_ = rollout;
    rolloutState.current_ = "v1";
    rolloutState.share_ = 0.25;
    Backend backend;
    backend.service_ = ServiceName("x");
    backend.zone_ = ZoneName("z");
    backend.address_ = Address { "10.0.0.1", 80 };
    backend.slots_ = 6;
    backend.connections_ = 110;
    backend.version_ = "v1";
    return { formatPlacement(placement),
             formatRoleRecord(record),
             formatContract(contract),
             formatZone(Zone {}),
             formatLostHost(LostHost {}),
             formatTeamKey(TeamKey { "k", TeamName("t"), std::string(64, 'a') }),
             R"({"routes":[{"name":"r"}]})",
             formatRollout(rollout),
             formatRolloutState(rolloutState),
             formatBackend(backend) };
}

TEST(ObjectCodec, AcceptsItsOwnOutput)
{
    const std::vector<std::string> values = sampleValues();
    EXPECT_TRUE(isAccepted({ ObjectKind::Placement, "x" }, values[0]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Role, "x" }, values[1]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Contract, "x" }, values[2]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Zone, "x" }, values[3]));
    EXPECT_TRUE(isAccepted({ ObjectKind::LostHost, "x" }, values[4]));
    EXPECT_TRUE(isAccepted({ ObjectKind::TeamKey, "x" }, values[5]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Service, "x" }, values[6]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Rollout, "x" }, values[7]));
    EXPECT_TRUE(isAccepted({ ObjectKind::RolloutState, "x" }, values[8]));
    EXPECT_TRUE(isAccepted({ ObjectKind::Backend, "x" }, values[9]));
}

// Guards against a successor that waits for the holder by another rule than the holder's own, and
// against records that hosts of an earlier version cannot read although they state nothing new.
TEST(ObjectCodec, ARoleRecordKeepsItsRulesAndItsChallenger)
{
    RoleRecord record;
    record.holder_ = Member { HostName("h"), Incarnation { 1 } };
    record.members_ = { record.holder_ };
    for (const auto &row : EnumTable<TermRule>::kRows) {
        record.rule_ = row.value_;
        record.predecessors_ = { { Epoch { 1 }, record.holder_, record.members_, row.value_ } };
        record.challenger_ = HostName(row.value_ == TermRule::Majority ? "" : "c");
        const std::string text = formatRoleRecord(record);
        const RoleRecord parsed = parseRoleRecord("r", text).value();
        EXPECT_EQ(parsed.rule_, record.rule_);
        EXPECT_EQ(parsed.predecessors_, record.predecessors_);
        EXPECT_EQ(parsed.challenger_, record.challenger_);
        const bool hasNewFields = text.find("rule") != std::string::npos
                                  || text.find("challenger") != std::string::npos;
        EXPECT_EQ(hasNewFields, row.value_ != TermRule::Majority) << text;
    }
    EXPECT_FALSE(isAccepted({ ObjectKind::Role, "x" },
                            R"({"epoch":1,"holder":"h","incarnation":1,"rule":"never"})"));
}

// Guards against hosts of an earlier release, which reject a field that they do not know: without a
// version, an entry is written as before.
TEST(ObjectCodec, ABackEndWithoutAVersionHasNoFieldForIt)
{
    EXPECT_EQ(formatBackend(Backend {}).find("version"), std::string::npos);
}

TEST(ObjectCodec, ReportsEveryInvalidField)
{
    const std::string value
        = R"({"rate_per_second":-1,"burst":"many","connections":0,"colour":"red"})";
    const std::string text = valueOr(
        [&]() -> leaf::result<std::string> {
            BOOST_LEAF_CHECK(parseContract("caxias", value));
            return std::string();
        },
        [](const Error &error) { return error.describe(); });
    for (const char *field : { "rate_per_second", "burst", "connections", "colour" })
        EXPECT_NE(text.find(field), std::string::npos) << field;
}

TEST(ObjectCodec, RejectsAPlacementWithInvalidShards)
{
    EXPECT_FALSE(isAccepted({ ObjectKind::Placement, "x" },
                            R"({"epoch":3,"role_epoch":1,"backends":["a"],"shards":[[0,9]]})"));
    EXPECT_FALSE(isAccepted({ ObjectKind::Placement, "x" },
                            R"({"epoch":3,"role_epoch":1,"backends":["a"],"shards":[[1,2]]})"));
}

RC_GTEST_PROP(ObjectCodecProperty, HandlesMutatedText, ())
{
    const std::vector<std::string> values = sampleValues();
    std::string value = values[*rc::gen::inRange<std::size_t>(0, values.size())];
    const int changes = *rc::gen::inRange(1, 5);
    for (int i = 0; i < changes; ++i)
        value[*rc::gen::inRange<std::size_t>(0, value.size())]
            = *rc::gen::elementOf(std::string("{}[]\":,0129-.eatrunl\\ "));
    const auto kind
        = static_cast<ObjectKind>(*rc::gen::inRange<std::size_t>(0, kEnumCount<ObjectKind>));
    isAccepted({ kind, "x" }, value);
    parseStoredObject(value);
    parseListing(value);
    parseGrant(value);
    parseGrantReply(value);
}

RC_GTEST_PROP(SettingsProperty, RejectsArbitraryText, (const std::string &text))
{
    const SettingsResult result = parseSettings(text, "x.ini");
    RC_ASSERT(!result.errors_.empty());
}

// Guards against an order that never equals the state that its own roll-out has stored, so that it
// is rolled back and begun again without end.
TEST(RolloutCodec, AnOrderEqualsItsStateWhateverFractionsItsDurationHas)
{
    for (const char *duration : { "12000.4", "12000.6", "12345", "12001.0000001", "1000.3333" }) {
        const std::string text = R"({"target":"v2","duration_ms":)" + std::string(duration) + "}";
        const auto isSame = [&]() -> leaf::result<bool> {
            BOOST_LEAF_AUTO(order, parseRollout("huts", text));
            RolloutState state;
            state.rollout_ = order;
            BOOST_LEAF_AUTO(stored, parseRolloutState("huts", formatRolloutState(state)));
            BOOST_LEAF_AUTO(again, parseRollout("huts", formatRollout(order)));
            return stored.rollout_.isSameOrder(order) && again.isSameOrder(order);
        };
        EXPECT_TRUE(valueOr(isSame, [](const Error &) { return false; })) << duration;
    }
}

} // namespace
