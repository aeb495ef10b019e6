#include "pimentostage/platform/ObjectCodec.h"
#include "platform/BackendWire.h"
#include "platform/CallerWire.h"
#include "platform/StoreWire.h"
#include "src/base/EventLoop.h"

#include <future>
#include <map>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace pimentostage;
using namespace std::chrono_literals;
namespace wire = pimentostage::platform;

namespace {

const char *const kConfig = R"({"items":[{"Metadata":{"Name":"main","Revision":9},"Spec":{
    "Version":7,
    "Services":[{"Name":"huts","HealthCheckPath":"/health","MaxConnections":110,"WarmupS":3.0,
        "WarmupPerS":6.6},{"Name":"permits","Sharded":true,"WarmS":5.0}],
    "Tenants":[{"Name":"caxias","ApiKeys":["secret"],"Priority":1,"RatePerS":81,"Burst":40},
        {"Name":"free","ApiKeys":[]}],
    "VirtualHosts":[{"Host":"a.example","Paths":[
        {"Name":"r1","PathPrefix":"/x/","RouteType":"safe","TimeoutMs":1000,"TargetLatencyMs":500,
         "Priority":2,"MaxAttempts":2,"Public":false,
         "WeightedClusters":[{"Service":"huts","Weight":90},{"Service":"permits","Weight":10}]},
        {"Name":"r2","PathPrefix":"/y/","RouteType":"unsafe","TimeoutMs":900,"Service":"huts",
         "MaxAttempts":1,"Public":true}]}]}}],
    "HasMore":false,"AsOf":12})";

Catalogue catalogueIn(const StoredObject &object)
{
    return valueOr(
        [&]() -> leaf::result<Catalogue> {
            return parseCatalogue(object.ref_.name_, object.value_);
        },
        [](const Error &error) {
            ADD_FAILURE() << error.describe();
            return Catalogue {};
        });
}

TEST(PlatformStoreWire, ParsesTheConfigurationAsOneCatalogue)
{
    const auto page = wire::parsePage("config", kConfig);
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    EXPECT_EQ(page->listing_.revision_, Version { 12 });
    EXPECT_EQ(page->nextAfter_, "");
    const StoredObject &object = page->listing_.objects_.front();
    EXPECT_EQ(object.version_, Version { 9 });
    const Catalogue catalogue = catalogueIn(object);
    ASSERT_EQ(catalogue.services_.size(), 2U);
    EXPECT_EQ(catalogue.services_[0].connections_, 110U);
    EXPECT_EQ(catalogue.services_[0].coldTime_, 3s);
    EXPECT_EQ(catalogue.services_[1].division_, KeyDivision::Ordered);
    ASSERT_EQ(catalogue.routes_.size(), 2U);
    EXPECT_EQ(catalogue.routes_[0].host_, "a.example");
    EXPECT_EQ(catalogue.routes_[0].routeKind_, RouteKind::Safe);
    EXPECT_EQ(catalogue.routes_[0].services_.size(), 2U);
    EXPECT_EQ(catalogue.routes_[0].target_, 500ms);
    EXPECT_EQ(catalogue.routes_[1].access_, Access::Open);
    EXPECT_EQ(catalogue.routes_[1].routeKind_, RouteKind::Unsafe);
    ASSERT_EQ(catalogue.contracts_.size(), 2U);
    EXPECT_EQ(catalogue.contracts_[0].priority_, 1U);
    EXPECT_FALSE(catalogue.contracts_[1].isLimited_) << "no rate means no limit";
}

// Guards against changes that are ignored: a restored store gives revisions out again.
TEST(PlatformStoreWire, VersionsHoldTheGenerationOfTheStore)
{
    const auto page = wire::parsePage("config", kConfig, Generation { 3 });
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    EXPECT_EQ(page->listing_.revision_, makeVersion(Generation { 3 }, 12));
    const Version version = page->listing_.objects_.front().version_;
    EXPECT_EQ(generationOf(version), Generation { 3 });
    EXPECT_EQ(revisionOf(version), 9U);
    const auto written = nlohmann::json::parse(wire::formatObject("role.x", "{}", version));
    EXPECT_EQ(written["Metadata"]["Revision"], 9) << "the store knows no generations here";
}

TEST(PlatformStoreWire, DoesNotStoreTeamKeys)
{
    const auto page = wire::parsePage("config", kConfig);
    EXPECT_EQ(page->listing_.objects_.front().value_.find("secret"), std::string::npos);
    EXPECT_EQ(catalogueIn(page->listing_.objects_.front()).keys_.size(), 1U);
}

std::string backendEntry(const std::string &spec)
{
    return R"({"items":[{"Metadata":{"Name":"i-1","Revision":3},"Spec":)" + spec
           + R"(}],"HasMore":true,"AsOf":3})";
}

TEST(PlatformStoreWire, ParsesABackendsEntry)
{
    const auto page = wire::parsePage(
        "servers", backendEntry(R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north",
            "MaxConcurrency":6,"State":"draining","WarmupLeftMs":1500,"Sequence":4,"born":1700})"));
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    EXPECT_EQ(page->nextAfter_, "i-1") << "there is another page";
    const auto backend = valueOr(
        [&]() -> leaf::result<Backend> {
            return parseBackend("i-1", page->listing_.objects_.front().value_);
        },
        [](const Error &) { return Backend {}; });
    EXPECT_EQ(backend.state_, BackendState::Draining);
    EXPECT_EQ(backend.incarnation_, Incarnation { 1700 });
    EXPECT_EQ(backend.coldFor_, 1500ms);
}

/// @return the back end in @p page, or one without a name.
Backend backendIn(const std::optional<wire::StorePage> &page)
{
    if (!page || page->listing_.objects_.size() != 1)
        return {};
    return valueOr(
        [&]() -> leaf::result<Backend> {
            return parseBackend("i-1", page->listing_.objects_.front().value_);
        },
        [](const Error &) { return Backend {}; });
}

// Guards against entries that hosts of an earlier release reject, since siblings send each other
// what they read: the version is read only where roll-outs are on.
TEST(PlatformStoreWire, ReadsABackEndsVersionOnlyForRollouts)
{
    const std::string text = backendEntry(
        R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north","Version":"v1",
            "MaxConcurrency":6,"State":"ready","WarmupLeftMs":0,"Sequence":4,"born":1700})");
    const Backend ignored = backendIn(wire::parsePage("servers", text));
    EXPECT_EQ(ignored.name_, BackendName("i-1"));
    EXPECT_EQ(ignored.version_, "");
    EXPECT_EQ(backendIn(wire::parsePage("servers", text, {}, wire::BackendVersions::Read)).version_,
              "v1");
}

TEST(PlatformStoreWire, ParsesAnOrderOfARollout)
{
    const auto page = wire::parsePage(
        "rollouts", R"({"items":[{"Metadata":{"Name":"huts","Revision":3},"Spec":{"Service":"huts",
            "Target":"v2","DurationS":12.5}}],"AsOf":3})");
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    const StoredObject &object = page->listing_.objects_.front();
    EXPECT_EQ(object.ref_, (ObjectRef { ObjectKind::Rollout, "huts" }));
    const auto rollout
        = valueOr([&]() -> leaf::result<Rollout> { return parseRollout("huts", object.value_); },
                  [](const Error &) { return Rollout {}; });
    EXPECT_EQ(rollout.order_.service_, ServiceName("huts"));
    EXPECT_EQ(rollout.order_.target_, "v2");
    EXPECT_EQ(rollout.order_.duration_, 12'500ms);
}

// Guards against an order with a default in place of an odd field.
TEST(PlatformStoreWire, AMalformedOrderOfARolloutIsRejected)
{
    for (const char *spec : { R"({"Service":"huts","DurationS":12})", R"({"Target":3})",
                              R"({"Target":"v2","DurationS":"12"})", R"([])", R"(null)" }) {
        const auto page = wire::parsePage(
            "rollouts", std::string(R"({"items":[{"Metadata":{"Name":"huts","Revision":3},"Spec":)")
                            + spec + R"(}],"AsOf":3})");
        ASSERT_TRUE(page && page->listing_.objects_.size() == 1) << spec;
        const StoredObject &object = page->listing_.objects_.front();
        EXPECT_FALSE(object.deleted_) << spec;
        const bool isAccepted = valueOr(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(checkObject(object.ref_, object.value_));
                return true;
            },
            [](const Error &) { return false; });
        EXPECT_FALSE(isAccepted) << spec;
    }
}

TEST(PlatformStoreWire, FormatsTheStatusOfARollout)
{
    EXPECT_EQ(wire::rolloutStatusPath(ServiceName("huts")),
              "/pimentostage/objects/rollouts/huts/status");
    EXPECT_EQ(wire::formatRolloutStatus(ServiceName("huts"), RolloutStatus::RolledBack, "v2"),
              R"({"Metadata":{"Name":"huts"},"Status":{"State":"rolled_back","Target":"v2"}})");
}

// Guards against content of a restored store that counts as newer although its writer has written
// since the copy was made.
TEST(PlatformStoreWire, ReadsTheWritersPosition)
{
    const auto events = wire::parseEvents(
        "config", R"({"events":[{"Deleted":false,"Object":{"Metadata":{"Name":"main",
            "Revision":5},"Spec":{"Version":41}}}],"AsOf":7})");
    ASSERT_TRUE(events && events->objects_.size() == 1);
    EXPECT_EQ(events->objects_[0].position_, (WriterPosition { 0, 41 }));
    const auto page = wire::parsePage(
        "servers", backendEntry(R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north",
            "MaxConcurrency":6,"State":"ready","Sequence":4,"born":1700})"));
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    EXPECT_EQ(page->listing_.objects_[0].position_, (WriterPosition { 1700, 4 }));
}

// Guards against two processes of a back end that count as one: without its start, an entry does
// not tell which process it is about, and it comes from another writer.
TEST(PlatformStoreWire, AnEntryWithoutItsStartNamesNoBackEnd)
{
    const auto page = wire::parsePage(
        "servers", backendEntry(R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north",
            "MaxConcurrency":6,"State":"ready","WarmupLeftMs":0,"Sequence":4})"));
    ASSERT_TRUE(page && page->listing_.objects_.size() == 1);
    EXPECT_TRUE(page->listing_.objects_[0].deleted_);
}

TEST(PlatformStoreWire, TreatsAMalformedEntryAsDeleted)
{
    for (const char *spec :
         { "\"text\"", "{}",
           R"({"Service":"huts","Zone":"north","MaxConcurrency":6,"State":"ready"})",
           R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north","MaxConcurrency":6,
               "State":"odd"})",
           R"({"Service":7,"Address":"10.1.0.2:80","Zone":"north","MaxConcurrency":6,
               "State":"ready"})",
           R"({"Service":"huts","Address":"10.1.0.2:80","Zone":"north","MaxConcurrency":"six",
               "State":"ready"})" }) {
        const auto page = wire::parsePage("servers", backendEntry(spec));
        ASSERT_TRUE(page && page->listing_.objects_.size() == 1) << spec;
        EXPECT_TRUE(page->listing_.objects_.front().deleted_) << spec;
    }
}

TEST(PlatformStoreWire, ParsesAnEvacuationAsAZoneThatIsOut)
{
    const auto events = wire::parseEvents(
        "evacuations", R"({"events":[{"Deleted":false,"Object":{"Metadata":{"Name":"north",
            "Revision":5},"Spec":{}}},{"Deleted":true,"Object":{"Metadata":{"Name":"south",
            "Revision":6}}}],"AsOf":7})");
    ASSERT_TRUE(events && events->objects_.size() == 2);
    EXPECT_EQ(events->objects_[0].ref_, (ObjectRef { ObjectKind::Zone, "north" }));
    EXPECT_FALSE(events->objects_[0].deleted_);
    EXPECT_TRUE(events->objects_[1].deleted_);
}

TEST(PlatformStoreWire, RoundTripsAnObjectThatPimentostageWrites)
{
    const ObjectRef ref { ObjectKind::Role, "coordinator.permits" };
    const wire::StoreLocation location = wire::locationOf(ref);
    const std::string body = wire::formatObject(location.name_, R"({"epoch":4})", Version { 8 });
    nlohmann::json stored = nlohmann::json::parse(body);
    EXPECT_EQ(stored["Metadata"]["Revision"], 8);
    stored["Metadata"]["Revision"] = 9;
    const auto object = wire::parseObject(location.kind_, stored.dump());
    ASSERT_TRUE(object);
    EXPECT_EQ(object->ref_, ref);
    EXPECT_EQ(object->version_, Version { 9 });
    EXPECT_EQ(object->value_, R"({"epoch":4})");
}

TEST(PlatformStoreWire, RejectsMalformedReplies)
{
    for (const char *text : { "", "[]", "{}", "{\"AsOf\":\"x\"}", "nonsense" }) {
        EXPECT_FALSE(wire::parsePage("servers", text)) << text;
        EXPECT_FALSE(wire::parseEvents("servers", text)) << text;
    }
}

ServerRequest callerRequest()
{
    ServerRequest request;
    request.method_ = "GET";
    request.target_ = "/x/y?z=1";
    request.headers_ = { { "Host", "A.Example:80" },
                         { "Pimentostage-Request-Id", "r1" },
                         { "Pimentostage-Deadline-Ms", "1200" },
                         { "Pimentostage-Key", "secret" },
                         { "Pimentostage-Tenant-Id", "somebody-else" },
                         { "Pimentostage-Shard-Key", "77" },
                         { "Connection", "keep-alive" },
                         { "X-Own", "kept" } };
    return request;
}

TEST(PlatformCallerWire, DecodesARequestAndRemovesReservedHeaders)
{
    const auto decoded = wire::callerProtocol().decode_(callerRequest(), RequestId("fallback"));
    const auto &request = std::get<CallerRequest>(decoded);
    EXPECT_EQ(request.id_, RequestId("r1"));
    EXPECT_EQ(request.host_, "a.example");
    EXPECT_EQ(request.path_ + request.query_, "/x/y?z=1");
    EXPECT_EQ(request.budget_, 1200ms);
    EXPECT_EQ(request.key_, "77");
    ASSERT_EQ(request.headers_.size(), 1U);
    EXPECT_EQ(request.headers_[0].name_, "X-Own");
}

// Guards against a deadline outside the range of Duration, whose conversion is undefined: the
// request could count as expired or never expire.
TEST(PlatformCallerWire, DeadlineBeyondTheRangeOfDurationIsLimitedOrRefused)
{
    const auto decode = [](const char *deadline) {
        ServerRequest request = callerRequest();
        request.headers_[2].value_ = deadline;
        return wire::callerProtocol().decode_(std::move(request), RequestId("fallback"));
    };
    for (const char *text : { "1e18", "1e300", "99999999999999999999999" }) {
        const auto decoded = decode(text);
        ASSERT_TRUE(std::holds_alternative<CallerRequest>(decoded)) << text;
        EXPECT_EQ(std::get<CallerRequest>(decoded).budget_, 24h) << text;
    }
    for (const char *text : { "nan", "inf", "-inf", "1e999" })
        EXPECT_TRUE(std::holds_alternative<Refusal>(decode(text))) << text;
    EXPECT_EQ(std::get<CallerRequest>(decode("-5")).budget_, 0ms);
}

// Guards against answers of other requests: without an id, a back end's answer is not checked.
TEST(PlatformCallerWire, GivesARequestWithoutAnIdOrWithAnEmptyOneAnId)
{
    ServerRequest request = callerRequest();
    request.headers_[1].value_ = "";
    const auto empty = wire::callerProtocol().decode_(request, RequestId("fallback"));
    EXPECT_EQ(std::get<CallerRequest>(empty).id_, RequestId("fallback"));
    request.headers_.erase(request.headers_.begin() + 1);
    const auto none = wire::callerProtocol().decode_(request, RequestId("fallback"));
    EXPECT_EQ(std::get<CallerRequest>(none).id_, RequestId("fallback"));
}

TEST(PlatformCallerWire, GuaranteesThatARequestHasNotRunOnlyIfThatIsKnown)
{
    const auto statusOf = [](RefusalReason reason, Outcome outcome) {
        return wire::callerProtocol()
            .encodeRefusal_(Refusal { reason, outcome, 300ms, "" }, RequestId("r1"))
            .status_;
    };
    for (const auto &row : EnumTable<RefusalReason>::kRows) {
        const int status = statusOf(row.value_, Outcome::Unknown);
        EXPECT_NE(status, 503) << row.name_;
        EXPECT_NE(status, 429) << row.name_;
    }
    EXPECT_EQ(statusOf(RefusalReason::DeadlinePassed, Outcome::NotRun), 503);
    EXPECT_EQ(statusOf(RefusalReason::DeadlinePassed, Outcome::Unknown), 504);
    EXPECT_EQ(statusOf(RefusalReason::OverRate, Outcome::NotRun), 429);
    EXPECT_EQ(statusOf(RefusalReason::InvalidTeamKey, Outcome::NotRun), 401);
}

TEST(PlatformBackendWire, SendsInstanceTeamAndRemainingTime)
{
    Candidate candidate;
    candidate.backend_.name_ = BackendName("i-1");
    candidate.backend_.address_ = Address { "10.1.0.2", 80 };
    BackendChoice choice;
    choice.candidate_ = &candidate;
    ForwardRequest request;
    request.id_ = RequestId("r1");
    request.method_ = "GET";
    request.path_ = "/x";
    request.host_ = "a.example";
    request.team_ = TeamName("caxias");
    request.deadline_ = TimePoint(1h) + 700ms;
    const HttpRequest http
        = wire::backendProtocol().encodeAttempt_(request, 0, choice, TimePoint(1h));
    std::map<std::string, std::string> headers;
    for (const HttpHeader &header : http.headers_)
        headers[header.name_] = header.value_;
    EXPECT_EQ(http.url_, "http://10.1.0.2:80/x");
    EXPECT_EQ(headers["Pimentostage-Expected-Instance"], "i-1");
    EXPECT_EQ(headers["Pimentostage-Tenant-Id"], "caxias");
    EXPECT_EQ(headers["Pimentostage-Deadline-Ms"], "700");
    EXPECT_EQ(http.expectedId_, "r1") << "identifies a response to another request";
}

const HttpHeader kProof { "Pimentostage-Upstream-Signature", "3e1b.07" };

HttpResult answered(int status, std::vector<HttpHeader> headers)
{
    HttpResult result;
    result.state_ = AttemptState::Answered;
    result.answer_ = HttpAnswer { status, std::move(headers), "" };
    return result;
}

TEST(PlatformBackendWire, TreatsOnlyADeclaredRejectionAsNotRun)
{
    const auto interpretResult = wire::backendProtocol().interpretResult_;
    EXPECT_EQ(interpretResult(answered(503, { { "Pimentostage-Not-Executed", "1" } })).failure_,
              AttemptFailure::Shed);
    EXPECT_EQ(interpretResult(answered(421, {})).failure_, AttemptFailure::StaleEpoch);
    for (const int status : { 500, 502, 504 })
        EXPECT_FALSE(interpretResult(answered(status, {})).failure_) << status;
    for (const int status : { 408, 429, 503 }) {
        const AttemptResult result = interpretResult(answered(status, { kProof }));
        EXPECT_EQ(result.failure_, AttemptFailure::Undeclared) << status;
        EXPECT_EQ(outcomeOf(result.state_), Outcome::Unknown) << status;
    }
}

TEST(PlatformBackendWire, TakesASuccessOnlyWithItsProof)
{
    const auto interpretResult = wire::backendProtocol().interpretResult_;
    for (const int status : { 200, 204, 299 }) {
        EXPECT_FALSE(interpretResult(answered(status, { kProof })).failure_) << status;
        EXPECT_EQ(interpretResult(answered(status, {})).failure_, AttemptFailure::Unproven)
            << status;
    }
    EXPECT_FALSE(interpretResult(answered(302, {})).failure_);
}

TEST(PlatformBackendWire, ParsesLoadAndPace)
{
    const auto interpretResult = wire::backendProtocol().interpretResult_;
    const auto full
        = interpretResult(answered(200, { kProof, { "Pimentostage-Upstream-Load", "3,2,6,160" } }))
              .load_;
    ASSERT_TRUE(full);
    EXPECT_EQ(full->running_, 3U);
    EXPECT_EQ(full->waiting_, 2U);
    EXPECT_DOUBLE_EQ(full->pace_, 1.6);
    EXPECT_DOUBLE_EQ(
        interpretResult(answered(200, { kProof, { "Pimentostage-Upstream-Load", "3,0,6" } }))
            .load_->pace_,
        1);
    EXPECT_FALSE(
        interpretResult(answered(200, { kProof, { "Pimentostage-Upstream-Load", "x" } })).load_);
    // Whoever made an answer without a proof does not know the back end's load.
    EXPECT_FALSE(
        interpretResult(answered(200, { { "Pimentostage-Upstream-Load", "3,0,6" } })).load_);
}

TEST(PlatformBackendWire, EncodesTheHandoverOfAGrant)
{
    const RangeGrantOrder order { { 4096, 8191 }, Epoch { 12 }, 4s, "token" };
    const HttpRequest grant = wire::rangeProtocol().encodeGrant_(order);
    EXPECT_EQ(nlohmann::json::parse(*grant.body_), nlohmann::json({ { "From", 4096 },
                                                                    { "Target", 8191 },
                                                                    { "fence", 12 },
                                                                    { "HoldMs", 4000 },
                                                                    { "Handover", "token" } }));
}

// Guards against two owners of one key: a back end with a long queue refuses new connections, and
// its keys were granted to another back end while it still held them.
TEST(PlatformBackendWire, ABackendThatRefusesAConnectionMayStillHoldItsKeys)
{
    EventLoop loop("ranges");
    HttpRangeLink link(loop, wire::rangeProtocol());
    std::promise<RangeOutcome> outcome;
    loop.post([&] {
        link.grant(Address { "127.0.0.1", 9 }, RangeGrantOrder { { 0, 9 }, Epoch { 1 }, 1s, "" }, 0,
                   [&](const RangeReply &reply) { outcome.set_value(reply.outcome_); });
    });
    EXPECT_EQ(outcome.get_future().get(), RangeOutcome::NotDelivered);
}

} // namespace
