#include "tools/BackendStandin.h"

#include "src/backend/BackendProtocol.h"
#include "src/backend/GrantCodec.h"

#include <algorithm>
#include <random>
#include <sstream>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr std::size_t kMaxHeadBytes = std::size_t { 64 } << 10U;
constexpr Duration kLateAnswerDelay = std::chrono::milliseconds(700);

Incarnation newIncarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation { static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count()) };
}

/// @return the request id that all attempts of one request have in common.
std::string requestIdOf(const std::string &attemptId)
{
    return attemptId.substr(0, attemptId.rfind('.'));
}

} // namespace

/// A received request and the responder for its answer.
struct BackendStandin::Exchange
{
    std::string method_;
    std::string path_;
    std::string body_;
    std::string query_;
    std::string id_;
    std::string team_;
    UnitName unit_;
    Epoch epoch_;
    bool hasTeamKey_ = false;
    TimePoint deadline_ = TimePoint::max();
    TimePoint beganAt_;
    std::uint64_t leaseTerm_ = 0; ///< term of the lease when the request started
    std::shared_ptr<HttpResponder> responder_;

    void parseFence(const std::string &fence)
    {
        std::istringstream in(fence);
        std::string unit;
        in >> unit >> epoch_.value_;
        unit_ = UnitName(unit);
    }
};

const BackendStandin::Endpoint BackendStandin::kEndpoints[] = {
    { "POST", kGrantPath, &BackendStandin::grant },
    { "GET", kLoadPath, &BackendStandin::load },
    { "GET", "/.pimento/report", &BackendStandin::report },
    { "POST", "/.pimento/faults", &BackendStandin::setFaults },
};

BackendStandin::BackendStandin(const BackendStandinOptions &options)
    : options_(options)
    , incarnation_(newIncarnation())
    , coldSince_(BootClock::now())
    , lease_(incarnation_)
    , random_(std::random_device {}())
{ }

BackendStandin::~BackendStandin()
{
    stop();
}

leaf::result<void> BackendStandin::start(const Address &address)
{
    HttpServerOptions options;
    options.address_ = address;
    options.threads_ = 1;
    options.threadName_ = "backend";
    // Pistache counts the head as well.
    options.maxRequestBytes_ = options_.maxRequestBytes_ + kMaxHeadBytes;
    return server_.start(options, [this] {
        return
            [this](const ServerRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                auto exchange = std::make_shared<Exchange>();
                exchange->method_ = request.method_;
                exchange->path_ = request.path();
                exchange->query_ = request.query();
                exchange->body_ = request.body_;
                exchange->id_ = request.header(kRequestIdHeader).value_or("");
                exchange->team_ = request.header(kTeamHeader).value_or("");
                exchange->hasTeamKey_ = request.header("Authorization").has_value();
                exchange->parseFence(request.header(kFenceHeader).value_or(""));
                if (const auto deadline = request.header(kDeadlineHeader)) {
                    exchange->deadline_
                        = BootClock::now()
                          + std::chrono::milliseconds(std::strtoll(deadline->c_str(), nullptr, 10));
                }
                exchange->responder_ = responder;
                loop_.post([this, exchange] { dispatch(exchange); });
            };
    });
}

void BackendStandin::stop()
{
    server_.stop();
    loop_.stop();
}

void BackendStandin::dispatch(const std::shared_ptr<Exchange> &exchange)
{
    for (const Endpoint &endpoint : kEndpoints) {
        if (exchange->method_ == endpoint.method_ && exchange->path_ == endpoint.path_) {
            (this->*endpoint.handle_)(exchange);
            return;
        }
    }
    admit(exchange);
}

bool BackendStandin::isCold(TimePoint now) const
{
    return now < coldSince_ + options_.coldTime_;
}

std::uint32_t BackendStandin::capacity(TimePoint now) const
{
    if (!isCold(now))
        return options_.slots_;
    const double warmFraction = toSeconds(now - coldSince_) / toSeconds(options_.coldTime_);
    return 1 + static_cast<std::uint32_t>(warmFraction * (options_.slots_ - 1));
}

bool BackendStandin::isCovered(const Exchange &exchange, TimePoint now) const
{
    if (exchange.unit_.isEmpty() || !options_.checksFence_)
        return true;
    return lease_.covers(exchange.unit_, exchange.epoch_, now);
}

void BackendStandin::admit(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = BootClock::now();
    report_.teamKeysSeen_ += exchange->hasTeamKey_ ? 1 : 0;
    if (!isCovered(*exchange, now)) {
        ++report_.refusedFence_;
        refuse(exchange, kConflict);
        return;
    }
    if (running_ < capacity(now)) {
        run(exchange);
        return;
    }
    const std::uint32_t queue = isCold(now) ? 0 : options_.queueLimit_;
    if (waiting_.size() < queue) {
        waiting_.push_back(exchange);
        return;
    }
    ++report_.shed_;
    report_.shedCold_ += isCold(now) ? 1 : 0;
    refuse(exchange, kUnavailable);
}

void BackendStandin::run(const std::shared_ptr<Exchange> &exchange)
{
    ++running_;
    report_.maxInFlight_ = std::max(report_.maxInFlight_, running_);
    if (!exchange->unit_.isEmpty())
        ++runningByUnit_[exchange->unit_];
    exchange->beganAt_ = BootClock::now();
    exchange->leaseTerm_ = lease_.term();
    loop_.after(drawServiceTime(), [this, exchange] { finish(exchange); });
}

Duration BackendStandin::drawServiceTime()
{
    // A third of the mean is constant, the rest is exponentially distributed.
    const double kFixedPart = 1.0 / 3;
    std::exponential_distribution<double> tail(1);
    const double drawn = kFixedPart + (1 - kFixedPart) * tail(random_.engine());
    return fromSeconds(toSeconds(options_.serviceTime_) * drawn * faults_.slowFactor_);
}

void BackendStandin::finish(const std::shared_ptr<Exchange> &exchange)
{
    const TimePoint now = BootClock::now();
    --running_;
    if (!exchange->unit_.isEmpty() && --runningByUnit_[exchange->unit_] == 0)
        runningByUnit_.erase(exchange->unit_);
    // The lease is checked again in the call in which the request takes effect, because the process
    // may have been suspended since the first check.
    const bool isFenced = options_.checksFence_ && !exchange->unit_.isEmpty();
    if (isFenced && !lease_.mayFinish(exchange->leaseTerm_, now)) {
        ++report_.refusedFence_;
        refuse(exchange, kConflict);
    } else if (now >= exchange->deadline_) {
        ++report_.pastDeadline_;
        refuse(exchange, kGatewayTimeout);
    } else {
        countExecution(*exchange);
        answer(exchange, kOk,
               nlohmann::json({ { "backend", options_.name_ },
                                { "zone", options_.zone_ },
                                { "request", exchange->id_ },
                                { "path", exchange->path_ + exchange->query_ },
                                { "team", exchange->team_ },
                                { "epoch", exchange->epoch_.value_ },
                                { "began_ns", exchange->beganAt_.time_since_epoch().count() },
                                { "ended_ns", now.time_since_epoch().count() },
                                { "body_bytes", exchange->body_.size() } })
                   .dump());
    }
    startNext();
}

void BackendStandin::startNext()
{
    const TimePoint now = BootClock::now();
    while (!waiting_.empty() && running_ < capacity(now)) {
        const std::shared_ptr<Exchange> next = waiting_.front();
        waiting_.pop_front();
        if (isCovered(*next, now))
            run(next);
        else
            refuse(next, kConflict);
    }
}

void BackendStandin::countExecution(const Exchange &exchange)
{
    ++report_.executed_;
    if (exchange.method_ == "GET")
        return;
    if (!executedIds_.insert(requestIdOf(exchange.id_)).second)
        ++report_.duplicates_;
}

void BackendStandin::refuse(const std::shared_ptr<Exchange> &exchange, int status)
{
    ServerAnswer answer;
    answer.status_ = status;
    answer.headers_.push_back({ kRequestIdHeader, exchange->id_ });
    answer.headers_.push_back({ kOutcomeHeader, std::string(toString(Outcome::NotRun)) });
    answer.headers_.push_back({ kLoadHeader, std::to_string(running_) });
    exchange->responder_->send(answer);
}

void BackendStandin::answer(const std::shared_ptr<Exchange> &exchange, int status, std::string body)
{
    if (faults_.loseAnswers_ > 0) {
        --faults_.loseAnswers_;
        unanswered_.push_back(exchange);
        return;
    }
    body.resize(std::max(body.size(), options_.minAnswerBytes_), ' ');
    ServerAnswer answer { status, "application/json", {}, std::move(body) };
    std::string id = exchange->id_;
    if (faults_.crossAnswers_ > 0) {
        --faults_.crossAnswers_;
        id += "-crossed";
    }
    answer.headers_.push_back({ kRequestIdHeader, id });
    answer.headers_.push_back({ kLoadHeader, std::to_string(running_) });
    answer.headers_.push_back({ kIncarnationHeader, std::to_string(incarnation_.value_) });
    if (faults_.lateAnswers_ > 0) {
        --faults_.lateAnswers_;
        loop_.after(kLateAnswerDelay, [exchange, answer] { exchange->responder_->send(answer); });
        return;
    }
    exchange->responder_->send(answer);
}

void BackendStandin::grant(const std::shared_ptr<Exchange> &exchange)
{
    const auto grant = parseGrant(exchange->body_);
    if (!grant) {
        exchange->responder_->send(ServerAnswer { kBadRequest, "", {}, "" });
        return;
    }
    GrantReply reply = lease_.apply(*grant, BootClock::now());
    for (const auto &[unit, count] : runningByUnit_) {
        if (!lease_.units().contains(unit))
            reply.draining_.push_back(unit);
    }
    ServerAnswer answer { kOk, "application/json", {}, formatGrantReply(reply) };
    answer.headers_.push_back({ kRequestIdHeader, exchange->id_ });
    exchange->responder_->send(answer);
}

void BackendStandin::load(const std::shared_ptr<Exchange> &exchange)
{
    const nlohmann::json load { { "in_flight", running_ }, { "slots", options_.slots_ } };
    exchange->responder_->send(ServerAnswer { kOk, "application/json", {}, load.dump() });
}

void BackendStandin::report(const std::shared_ptr<Exchange> &exchange)
{
    const nlohmann::json report { { "name", options_.name_ },
                                  { "executed", report_.executed_ },
                                  { "duplicates", report_.duplicates_ },
                                  { "shed", report_.shed_ },
                                  { "shed_cold", report_.shedCold_ },
                                  { "refused_fence", report_.refusedFence_ },
                                  { "team_keys_seen", report_.teamKeysSeen_ },
                                  { "past_deadline", report_.pastDeadline_ },
                                  { "most_in_flight", report_.maxInFlight_ } };
    exchange->responder_->send(ServerAnswer { kOk, "application/json", {}, report.dump() });
}

void BackendStandin::setFaults(const std::shared_ptr<Exchange> &exchange)
{
    const auto json = nlohmann::json::parse(exchange->body_, nullptr, false);
    if (!json.is_object()) {
        exchange->responder_->send(ServerAnswer { kBadRequest, "", {}, "" });
        return;
    }
    faults_.slowFactor_ = json.value("slow_factor", faults_.slowFactor_);
    faults_.crossAnswers_ = json.value("cross_answers", faults_.crossAnswers_);
    faults_.loseAnswers_ = json.value("lose_answers", faults_.loseAnswers_);
    faults_.lateAnswers_ = json.value("late_answers", faults_.lateAnswers_);
    if (json.value("cold", false))
        coldSince_ = BootClock::now();
    exchange->responder_->send(ServerAnswer { kOk, "application/json", {}, "{}" });
}

} // namespace pimentostage
