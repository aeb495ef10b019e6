#include "src/platform/StoreClient.h"

#include "pimentostage/platform/ObjectCodec.h"
#include "src/platform/StoreCodec.h"

#include <utility>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;

HttpClientOptions httpClientOptions(std::shared_ptr<MemoryBudget> memory)
{
    HttpClientOptions options;
    options.threadName_ = "store-client";
    options.connectionsPerPeer_ = 8;
    options.maxAnswerBytes_ = std::size_t { 256 } << 20U;
    options.peerKind_ = PeerKind::Platform;
    options.countMemory(std::move(memory), MemoryAccount::StoreReplies);
    return options;
}

Error errorFor(const HttpRequest &request, Step step, ErrorCode code, std::string detail)
{
    return Error { step, Peer { PeerKind::Platform, request.url_ }, code, std::move(detail) };
}

Error unexpected(const HttpRequest &request, Step step, const HttpAnswer &answer)
{
    const ErrorCode code = answer.status_ == kOk ? ErrorCode::Malformed : ErrorCode::Unavailable;
    return errorFor(request, step, code, "status " + std::to_string(answer.status_));
}

std::string pathOf(const ObjectRef &ref)
{
    return "/v1/objects/" + ref.str();
}

std::string condition(Version expected)
{
    return "?if_version=" + std::to_string(expected.value_);
}

} // namespace

StoreClient::StoreClient(const StoreClientOptions &options, Executor executor,
                         MetricRegistry &metrics)
    : options_(options)
    , executor_(std::move(executor))
    , budget_(options.callsPerSecond_, options.callBurst_)
    , reads_(metrics.counter("pimento_store_reads_total", "Reads and watches sent to the store."))
    , writes_(metrics.counter("pimento_store_writes_total", "Writes sent to the store."))
    , failures_(metrics.counter("pimento_store_failures_total", "Store calls that failed."))
    , overBudget_(metrics.counter("pimento_store_over_budget_total",
                                  "Store calls not sent because of this host's call budget."))
    , http_(httpClientOptions(options.memory_))
{ }

StoreClient::~StoreClient() = default;

StoreClient::Call StoreClient::callFor(Step step, const char *method, const std::string &path) const
{
    Call call;
    call.step_ = step;
    call.request_.method_ = method;
    call.request_.url_ = options_.baseUrl_ + path;
    call.request_.timeout_ = options_.timeout_;
    return call;
}

template <typename T>
void StoreClient::answer(const Done<T> &done, Reply<T> reply)
{
    executor_([done, reply = std::move(reply)] { done(reply); });
}

template <typename T>
void StoreClient::send(Call call, Reply<T> (*decode)(const Call &, const HttpAnswer &),
                       Done<T> done)
{
    http_.post([this, call = std::move(call), decode, done = std::move(done)] {
        if (!budget_.tryAcquire(BootClock::now())) {
            overBudget_.add();
            answer<T>(done, errorFor(call.request_, call.step_, ErrorCode::Unavailable,
                                     "call budget of this host is exhausted"));
            return;
        }
        (call.step_ == Step::WriteStore ? writes_ : reads_).add();
        http_.start(call.request_, [this, call, decode, done](HttpResult result) {
            if (!result.answer_) {
                failures_.add();
                Error error = *result.error_;
                error.step_ = call.step_;
                answer<T>(done, std::move(error));
                return;
            }
            Reply<T> reply = decode(call, *result.answer_);
            if (std::holds_alternative<Error>(reply))
                failures_.add();
            answer<T>(done, std::move(reply));
        });
    });
}

namespace {

template <typename Call>
Reply<StoreListing> decodeListing(const Call &call, const HttpAnswer &answer)
{
    if (answer.status_ == kOk) {
        if (auto listing = parseListing(answer.body_))
            return std::move(*listing);
    }
    return unexpected(call.request_, call.step_, answer);
}

template <typename Call>
Reply<StoredObject> decodeObject(const Call &call, const HttpAnswer &answer)
{
    if (answer.status_ == kOk || answer.status_ == kNotFound) {
        if (auto object = parseStoredObject(answer.body_))
            return std::move(*object);
    }
    return unexpected(call.request_, call.step_, answer);
}

template <typename Call>
Reply<WriteResult> decodeWrite(const Call &call, const HttpAnswer &answer)
{
    if (answer.status_ == kOk) {
        if (const auto version = parseWritten(answer.body_))
            return WriteResult { true, *version, std::nullopt };
    }
    if (answer.status_ == kConflict) {
        if (auto current = parseStoredObject(answer.body_))
            return WriteResult { false, Version {}, std::move(current) };
    }
    return unexpected(call.request_, call.step_, answer);
}

template <typename Call>
Reply<std::vector<ListedHost>> decodeHosts(const Call &call, const HttpAnswer &answer)
{
    if (answer.status_ != kOk)
        return unexpected(call.request_, call.step_, answer);
    using Hosts = Reply<std::vector<ListedHost>>;
    return valueOr(
        [&]() -> leaf::result<Hosts> {
            BOOST_LEAF_AUTO(hosts, parseHostList(answer.body_));
            return Hosts(std::move(hosts));
        },
        [](const Error &error) { return Hosts(error); });
}

} // namespace

void StoreClient::list(Done<StoreListing> done)
{
    send<StoreListing>(callFor(Step::ReadStore, "GET", "/v1/objects"), &decodeListing<Call>,
                       std::move(done));
}

void StoreClient::watch(Version since, Duration wait, Done<StoreListing> done)
{
    const std::string query = "?since=" + std::to_string(since.value_)
                              + "&wait_ms=" + std::to_string(toMilliseconds(wait));
    Call call = callFor(Step::WatchStore, "GET", "/v1/watch" + query);
    call.request_.timeout_ = options_.timeout_ + wait;
    send<StoreListing>(std::move(call), &decodeListing<Call>, std::move(done));
}

void StoreClient::get(const ObjectRef &ref, Done<StoredObject> done)
{
    send<StoredObject>(callFor(Step::ReadStore, "GET", pathOf(ref)), &decodeObject<Call>,
                       std::move(done));
}

void StoreClient::put(const ObjectRef &ref, const std::string &value, Version expected,
                      Done<WriteResult> done)
{
    Call call = callFor(Step::WriteStore, "PUT", pathOf(ref) + condition(expected));
    call.request_.body_ = sharedBody(value);
    send<WriteResult>(std::move(call), &decodeWrite<Call>, std::move(done));
}

void StoreClient::remove(const ObjectRef &ref, Version expected, Done<WriteResult> done)
{
    send<WriteResult>(callFor(Step::WriteStore, "DELETE", pathOf(ref) + condition(expected)),
                      &decodeWrite<Call>, std::move(done));
}

void StoreClient::hosts(Done<std::vector<ListedHost>> done)
{
    send<std::vector<ListedHost>>(callFor(Step::ReadStore, "GET", "/v1/hosts"), &decodeHosts<Call>,
                                  std::move(done));
}

} // namespace pimentostage
