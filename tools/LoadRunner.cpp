#include "tools/LoadRunner.h"

#include <algorithm>
#include <cmath>
#include <future>

#include <nlohmann/json.hpp>

namespace pimentostage {

namespace {

constexpr int kOk = 200;
constexpr Duration kCompletionPollInterval = std::chrono::milliseconds(20);

HttpClientOptions httpClientOptions()
{
    HttpClientOptions options;
    options.threadName_ = "load";
    options.connectionsPerPeer_ = 256;
    options.peerKind_ = PeerKind::Caller;
    return options;
}

std::string serviceOf(const std::string &path)
{
    return path.substr(1, path.find('/', 1) - 1);
}

} // namespace

struct LoadRunner::SentRequest
{
    const LoadRequest *request_;
    std::string team_;
    std::string key_;
    std::string path_;
    std::string id_;
};

void LoadTally::add(const LoadTally &other)
{
    sent_ += other.sent_;
    answered_ += other.answered_;
    refusedNotRun_ += other.refusedNotRun_;
    unknown_ += other.unknown_;
    for (const auto &[reason, count] : other.reasons_)
        reasons_[reason] += count;
    latencies_.insert(latencies_.end(), other.latencies_.begin(), other.latencies_.end());
}

double LoadTally::quantile(double quantile) const
{
    if (latencies_.empty())
        return 0;
    std::vector<double> sorted = latencies_;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(index),
                     sorted.end());
    return sorted[index];
}

LoadTally LoadResult::total() const
{
    LoadTally total;
    for (const auto &[kind, tally] : byKind_)
        total.add(tally);
    return total;
}

LoadRunner::LoadRunner(const LoadOptions &options, const LoadProfile &profile)
    : options_(options)
    , profile_(profile)
    , random_(options.seed_)
    , http_(httpClientOptions())
{
    for (const LoadRequest &request : profile_.requests_)
        totalWeight_ += request.weight_;
}

LoadResult LoadRunner::run()
{
    std::promise<void> done;
    std::function<void()> waitForEnd = [&] {
        if (BootClock::now() >= end_ && pending_ == 0)
            done.set_value();
        else
            http_.runAt(BootClock::now() + kCompletionPollInterval, waitForEnd);
    };
    http_.post([&] {
        const TimePoint now = BootClock::now();
        end_ = now + options_.duration_;
        for (std::size_t team = 0; team < profile_.teams_.size(); ++team)
            schedule(team, now);
        waitForEnd();
    });
    done.get_future().wait();
    return std::move(result_);
}

void LoadRunner::schedule(std::size_t team, TimePoint at)
{
    const double rate = profile_.teams_[team].rate_ * options_.rateFactor_;
    if (rate <= 0)
        return;
    const double interval = -std::log(1 - random_.unit()) / rate;
    const TimePoint next = at + fromSeconds(interval);
    if (next >= end_)
        return;
    http_.runAt(next, [this, team, next] {
        send(team);
        schedule(team, next);
    });
}

const LoadRequest &LoadRunner::drawRequest()
{
    double remaining = random_.unit() * totalWeight_;
    for (const LoadRequest &request : profile_.requests_) {
        remaining -= request.weight_;
        if (remaining < 0)
            return request;
    }
    return profile_.requests_.back();
}

void LoadRunner::send(std::size_t teamIndex)
{
    const LoadTeam &team = profile_.teams_[teamIndex];
    const LoadRequest &request = drawRequest();
    SentRequest sent;
    sent.request_ = &request;
    sent.team_ = team.name_;
    sent.key_ = "k" + std::to_string(random_.below(request.keys_));
    sent.path_ = request.path_;
    const std::size_t position = sent.path_.find("{key}");
    if (position != std::string::npos)
        sent.path_.replace(position, std::string("{key}").size(), sent.key_);
    else
        sent.key_ = sent.path_;
    sent.id_ = "load-" + std::to_string(options_.seed_) + '-' + std::to_string(++lastId_);

    HttpRequest httpRequest;
    httpRequest.method_ = request.method_;
    httpRequest.url_
        = "http://" + options_.entries_[random_.below(options_.entries_.size())] + sent.path_;
    httpRequest.timeout_ = options_.timeout_;
    httpRequest.headers_.push_back({ "X-Request-Id", sent.id_ });
    if (!team.key_.empty())
        httpRequest.headers_.push_back({ "Authorization", "Bearer " + team.key_ });
    if (request.method_ != "GET")
        httpRequest.body_ = sharedBody("{\"from\":\"" + sent.id_ + "\"}");
    ++pending_;
    http_.start(std::move(httpRequest), [this, sent](const HttpResult &result) {
        --pending_;
        onResult(sent, result);
    });
}

void LoadRunner::onResult(const SentRequest &sent, const HttpResult &result)
{
    LoadTally tally;
    tally.sent_ = 1;
    if (!result.answer_) {
        const bool isNotRun = result.state_ == AttemptState::NotSent;
        (isNotRun ? tally.refusedNotRun_ : tally.unknown_) = 1;
        tally.reasons_[std::string(toString(result.error_->code_))] = 1;
    } else if (result.answer_->status_ == kOk) {
        tally.answered_ = 1;
        const double kMillisecondsPerSecond = 1000;
        tally.latencies_.push_back(toSeconds(result.elapsed_) * kMillisecondsPerSecond);
        recordRun(sent, result.answer_->body_);
    } else {
        const bool isNotRun = result.answer_->header("Pimento-Outcome") == "not-run";
        (isNotRun ? tally.refusedNotRun_ : tally.unknown_) = 1;
        const auto problem = nlohmann::json::parse(result.answer_->body_, nullptr, false);
        std::string reason = "status-" + std::to_string(result.answer_->status_);
        if (problem.is_object() && problem.contains("type"))
            reason = problem["type"].get<std::string>();
        tally.reasons_[reason.substr(reason.rfind(':') + 1)] = 1;
    }
    result_.byKind_[sent.request_->kind_].add(tally);
    result_.byTeam_[sent.team_].add(tally);
}

void LoadRunner::recordRun(const SentRequest &sent, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object()) {
        ++result_.crossed_;
        return;
    }
    const std::string id = json.value("request", "");
    if (id.rfind(sent.id_ + '.', 0) != 0 && id != sent.id_) {
        ++result_.crossed_;
        return;
    }
    if (!options_.keepRuns_)
        return;
    RunRecord run;
    run.service_ = serviceOf(sent.path_);
    run.key_ = sent.key_;
    run.backend_ = json.value("backend", "");
    run.zone_ = json.value("zone", "");
    run.beganAt_ = json.value("began_ns", std::int64_t { 0 });
    run.endedAt_ = json.value("ended_ns", std::int64_t { 0 });
    run.epoch_ = json.value("epoch", std::uint64_t { 0 });
    result_.runs_.push_back(std::move(run));
}

} // namespace pimentostage
