#include "tools/PlatformStandin.h"

#include "pimentostage/platform/ObjectCodec.h"
#include "src/platform/StoreCodec.h"

#include <algorithm>
#include <charconv>
#include <string_view>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kHosts = "/v1/hosts/";
constexpr std::string_view kFaults = "/v1/faults";

std::uint64_t parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace

/// A received request and the responder for its answer.
struct PlatformStandin::Exchange
{
    std::string method_;
    std::string path_;
    std::string body_;
    std::map<std::string, std::string> parameters_;
    std::shared_ptr<HttpResponder> responder_;

    std::string parameter(const std::string &name) const
    {
        const auto found = parameters_.find(name);
        return found == parameters_.end() ? "" : found->second;
    }

    /// @return the object that the path names, or nothing if the path is invalid.
    std::optional<ObjectRef> ref() const
    {
        const std::string rest = path_.substr(std::min(path_.size(), kObjects.size()));
        const std::size_t slash = rest.find('/');
        if (slash == std::string::npos || slash + 1 == rest.size())
            return std::nullopt;
        const auto kind = fromString<ObjectKind>(rest.substr(0, slash));
        if (!kind)
            return std::nullopt;
        return ObjectRef { *kind, rest.substr(slash + 1) };
    }
};

const PlatformStandin::Endpoint PlatformStandin::kEndpoints[] = {
    { "GET", "/v1/objects/", &PlatformStandin::get },
    { "GET", "/v1/objects", &PlatformStandin::list },
    { "PUT", "/v1/objects/", &PlatformStandin::put },
    { "DELETE", "/v1/objects/", &PlatformStandin::remove },
    { "GET", "/v1/watch", &PlatformStandin::watch },
    { "GET", "/v1/hosts", &PlatformStandin::hosts },
    { "PUT", "/v1/hosts/", &PlatformStandin::putHost },
    { "DELETE", "/v1/hosts/", &PlatformStandin::removeHost },
    { "POST", "/v1/faults", &PlatformStandin::setFaults },
    { "GET", "/v1/stats", &PlatformStandin::stats },
};

PlatformStandin::PlatformStandin() = default;

PlatformStandin::~PlatformStandin()
{
    stop();
}

leaf::result<void> PlatformStandin::start(const Address &address)
{
    HttpServerOptions options;
    options.address_ = address;
    options.threads_ = 2;
    options.threadName_ = "platform";
    options.maxRequestBytes_ = 2 * kMaxObjectBytes;
    options.maxAnswerBytes_ = std::size_t { 256 } << 20U;
    return server_.start(options, [this] {
        return
            [this](const ServerRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                auto exchange = std::make_shared<Exchange>();
                exchange->method_ = request.method_;
                exchange->path_ = request.path();
                exchange->body_ = request.body_;
                for (const char *name : { "since", "wait_ms", "if_version", "down", "hang",
                                          "delay_ms", "lose_answers", "host_lag_ms" })
                    exchange->parameters_[name] = request.parameter(name);
                exchange->responder_ = responder;
                loop_.post([this, exchange] { dispatch(exchange); });
            };
    });
}

void PlatformStandin::stop()
{
    server_.stop();
    loop_.stop();
}

void PlatformStandin::dispatch(const std::shared_ptr<Exchange> &exchange)
{
    const bool isFaults = exchange->path_ == kFaults;
    if (faults_.hanging_ && !isFaults) {
        unanswered_.push_back(exchange);
        return;
    }
    if (faults_.down_ && !isFaults) {
        answer(exchange, kUnavailable, "{}");
        return;
    }
    (exchange->method_ == "GET" ? reads_ : writes_) += 1;
    for (const Endpoint &endpoint : kEndpoints) {
        if (exchange->method_ == endpoint.method_
            && exchange->path_.rfind(endpoint.prefix_, 0) == 0) {
            (this->*endpoint.handle_)(exchange);
            return;
        }
    }
    answer(exchange, kNotFound, "{}");
}

void PlatformStandin::answer(const std::shared_ptr<Exchange> &exchange, int status,
                             std::string body)
{
    const ServerAnswer answer { status, "application/json", {}, std::move(body) };
    if (faults_.delay_ <= Duration::zero() || exchange->path_ == kFaults) {
        exchange->responder_->send(answer);
        return;
    }
    loop_.after(faults_.delay_, [exchange, answer] { exchange->responder_->send(answer); });
}

void PlatformStandin::list(const std::shared_ptr<Exchange> &exchange)
{
    StoreListing listing;
    listing.revision_ = revision_;
    for (const auto &[ref, object] : objects_) {
        if (!object.deleted_)
            listing.objects_.push_back(object);
    }
    answer(exchange, kOk, formatListing(listing));
}

void PlatformStandin::get(const std::shared_ptr<Exchange> &exchange)
{
    const auto ref = exchange->ref();
    if (!ref) {
        answer(exchange, kBadRequest, "{}");
        return;
    }
    const auto found = objects_.find(*ref);
    const bool exists = found != objects_.end() && !found->second.deleted_;
    const StoredObject missing { *ref, Version {}, true, {} };
    answer(exchange, exists ? kOk : kNotFound,
           formatStoredObject(exists ? found->second : missing));
}

void PlatformStandin::put(const std::shared_ptr<Exchange> &exchange)
{
    if (exchange->body_.size() > kMaxObjectBytes) {
        answer(exchange, kTooLarge, "{}");
        return;
    }
    const auto ref = exchange->ref();
    if (!ref) {
        answer(exchange, kBadRequest, "{}");
        return;
    }
    write(exchange, StoredObject { *ref, Version {}, false, exchange->body_ });
}

void PlatformStandin::remove(const std::shared_ptr<Exchange> &exchange)
{
    const auto ref = exchange->ref();
    if (!ref) {
        answer(exchange, kBadRequest, "{}");
        return;
    }
    write(exchange, StoredObject { *ref, Version {}, true, {} });
}

void PlatformStandin::write(const std::shared_ptr<Exchange> &exchange, StoredObject next)
{
    const auto found = objects_.find(next.ref_);
    const bool exists = found != objects_.end() && !found->second.deleted_;
    const Version current = exists ? found->second.version_ : Version {};
    if (Version { parseNumber(exchange->parameter("if_version")) } != current) {
        const StoredObject missing { next.ref_, Version {}, true, {} };
        answer(exchange, kConflict, formatStoredObject(exists ? found->second : missing));
        return;
    }
    revision_ = revision_.next();
    next.version_ = revision_;
    objects_[next.ref_] = next;
    std::vector<std::uint64_t> pending;
    for (const Watch &watch : watches_)
        pending.push_back(watch.id_);
    for (const std::uint64_t id : pending)
        completeWatch(id);
    if (faults_.loseAnswers_ > 0) {
        --faults_.loseAnswers_;
        unanswered_.push_back(exchange);
        return;
    }
    answer(exchange, kOk, formatWritten(revision_));
}

StoreListing PlatformStandin::changesSince(Version since) const
{
    StoreListing listing;
    listing.revision_ = revision_;
    for (const auto &[ref, object] : objects_) {
        if (object.version_ > since)
            listing.objects_.push_back(object);
    }
    return listing;
}

void PlatformStandin::watch(const std::shared_ptr<Exchange> &exchange)
{
    const Version since { parseNumber(exchange->parameter("since")) };
    if (since != revision_) {
        answer(exchange, kOk, formatListing(changesSince(since)));
        return;
    }
    const std::uint64_t id = ++lastWatchId_;
    watches_.push_back(Watch { id, since, exchange });
    loop_.after(std::chrono::milliseconds(parseNumber(exchange->parameter("wait_ms"))),
                [this, id] { completeWatch(id); });
}

void PlatformStandin::completeWatch(std::uint64_t id)
{
    const auto found = std::find_if(watches_.begin(), watches_.end(),
                                    [id](const Watch &watch) { return watch.id_ == id; });
    if (found == watches_.end())
        return;
    const Watch watch = *found;
    watches_.erase(found);
    if (faults_.down_ || faults_.hanging_) {
        unanswered_.push_back(watch.exchange_);
        return;
    }
    answer(watch.exchange_, kOk, formatListing(changesSince(watch.since_)));
}

void PlatformStandin::hosts(const std::shared_ptr<Exchange> &exchange)
{
    std::vector<ListedHost> hosts;
    for (const auto &[name, host] : visibleHosts_)
        hosts.push_back(host);
    answer(exchange, kOk, formatHostList(hosts));
}

void PlatformStandin::putHost(const std::shared_ptr<Exchange> &exchange)
{
    const auto parsed = valueOr(
        [&]() -> leaf::result<std::vector<ListedHost>> {
            return parseHostList("{\"hosts\":[" + exchange->body_ + "]}");
        },
        [](const Error &) { return std::vector<ListedHost> {}; });
    if (parsed.size() != 1) {
        answer(exchange, kBadRequest, "{}");
        return;
    }
    hosts_[parsed.front().name_] = parsed.front();
    publishHosts();
    answer(exchange, kOk, "{}");
}

void PlatformStandin::removeHost(const std::shared_ptr<Exchange> &exchange)
{
    hosts_.erase(exchange->path_.substr(kHosts.size()));
    publishHosts();
    answer(exchange, kOk, "{}");
}

void PlatformStandin::publishHosts()
{
    const auto published = hosts_;
    if (faults_.hostLag_ <= Duration::zero())
        visibleHosts_ = published;
    else
        loop_.after(faults_.hostLag_, [this, published] { visibleHosts_ = published; });
}

void PlatformStandin::setFaults(const std::shared_ptr<Exchange> &exchange)
{
    const auto set = [&](const char *name, auto assign) {
        const std::string value = exchange->parameter(name);
        if (!value.empty())
            assign(parseNumber(value));
    };
    set("down", [this](std::uint64_t value) { faults_.down_ = value != 0; });
    set("hang", [this](std::uint64_t value) { faults_.hanging_ = value != 0; });
    set("delay_ms",
        [this](std::uint64_t value) { faults_.delay_ = std::chrono::milliseconds(value); });
    set("lose_answers",
        [this](std::uint64_t value) { faults_.loseAnswers_ = static_cast<std::int64_t>(value); });
    set("host_lag_ms",
        [this](std::uint64_t value) { faults_.hostLag_ = std::chrono::milliseconds(value); });
    answer(exchange, kOk, "{}");
}

void PlatformStandin::stats(const std::shared_ptr<Exchange> &exchange)
{
    const nlohmann::json stats { { "reads", reads_ },
                                 { "writes", writes_ },
                                 { "watches", watches_.size() },
                                 { "revision", revision_.value_ } };
    answer(exchange, kOk, stats.dump());
}

} // namespace pimentostage
