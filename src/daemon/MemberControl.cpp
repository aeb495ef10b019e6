#include "src/daemon/MemberControl.h"

#include <algorithm>
#include <set>

namespace pimentostage {

namespace {

// A host's report on the store counts for this long.
constexpr Duration kHeardWindow = std::chrono::seconds(1);
// A confirmation by the store younger than this says that the store works.
constexpr Duration kFreshAge = std::chrono::milliseconds(1500);
// After its start a host waits this long to hear all others before it decides on roles.
constexpr Duration kSettlingTime = std::chrono::seconds(1);
// With fewer hosts listed, others may still be about to register.
constexpr std::size_t kLeastFleet = 3;
// A change on its way through others arrives within this time on a link of 10 Mbit/s.
constexpr Duration kPullDelay = std::chrono::milliseconds(300);
// Longest wait for the answer to a pull; what was asked for twice would arrive twice.
constexpr Duration kPullPeriod = std::chrono::milliseconds(500);
// A difference that lasts this long is not a change that was just lost on its way.
constexpr Duration kMissingDelay = std::chrono::milliseconds(1200);

// Two pulls, the second for everything, have come to nothing after this time.
constexpr Duration kDivergenceTime = std::chrono::seconds(3);

} // namespace

MemberControl::MemberControl(const MemberUpdate &self, Random random,
                             const MembershipTiming &timing, ConfigState &config,
                             SiblingSender &sender, LogSink &log, OnConfig onConfig)
    : self_(self)
    , membership_(self, random, timing)
    , config_(config)
    , sender_(sender)
    , log_(log)
    , onConfig_(std::move(onConfig))
{ }

void MemberControl::updateListed(const std::vector<ListedHost> &hosts)
{
    std::set<HostName> names;
    for (const ListedHost &host : hosts) {
        if (host.kind_ != HostKind::Entry)
            continue;
        names.insert(HostName(host.name_));
        membership_.addListed(HostName(host.name_), host.siblingAddress_, host.zone_);
    }
    membership_.dropUnlisted(names);
    names.insert(self_.member_.host_);
    listedHosts_ = names.size();
    std::erase_if(heard_, [&](const auto &entry) { return !names.contains(entry.first); });
}

void MemberControl::setSource(const std::optional<HostName> &source)
{
    if (source == source_)
        return;
    source_ = source;
    differsSince_.reset();
    membership_.probeAlways(source);
}

void MemberControl::tick(TimePoint now)
{
    if (startedAt_ == TimePoint {})
        startedAt_ = now;
    for (const ProbeOrder &order : membership_.tick(now)) {
        Probe probe;
        probe.origin_ = self_.member_.host_;
        probe.target_ = order.target_;
        probe.sequence_ = order.sequence_;
        probe.updates_ = membership_.updatesToPassOn(order.via_);
        probe.config_ = summary(now);
        sender_.send(order.via_, probe);
    }
    logViewChange();
}

ConfigSummary MemberControl::summary(TimePoint now) const
{
    return ConfigSummary { config_.revision(), config_.digest(), config_.confirmedDigest(),
                           config_.age(now) };
}

void MemberControl::onMessage(const HostName &from, const Probe &probe, TimePoint now)
{
    take(from, probe.updates_, probe.config_, now);
    if (probe.target_ != self_.member_.host_) {
        sender_.send(probe.target_, probe);
        return;
    }
    ProbeAck ack;
    ack.origin_ = probe.origin_;
    ack.responder_ = self_.member_.host_;
    ack.sequence_ = probe.sequence_;
    ack.updates_ = membership_.updatesToPassOn(from);
    ack.config_ = summary(now);
    sender_.send(from, ack);
}

void MemberControl::onMessage(const HostName &from, const ProbeAck &ack, TimePoint now)
{
    take(from, ack.updates_, ack.config_, now);
    if (ack.origin_ != self_.member_.host_) {
        sender_.send(ack.origin_, ack);
        return;
    }
    // Its age was true at some moment after the question; what waits on the way here ages unseen.
    const auto askedAt = membership_.askedAt(ack.sequence_);
    if (askedAt) {
        Heard &heard = heard_[ack.responder_];
        heard.askedAt_ = *askedAt;
        heard.digest_ = ack.config_.confirmedDigest_;
    }
    if (askedAt && ack.config_.age_)
        config_.confirmThroughSibling(ack.config_.confirmedDigest_, *ack.config_.age_, *askedAt);
    membership_.onAck(ack.responder_, ack.sequence_, now);
}

void MemberControl::take(const HostName &from, const std::vector<MemberUpdate> &updates,
                         const ConfigSummary &config, TimePoint now)
{
    for (const MemberUpdate &update : updates)
        membership_.merge(update, now);
    Heard &heard = heard_[from];
    heard.at_ = now;
    heard.configAge_ = config.age_;
    compare(from, config, now);
}

// Others may lack the same change; the source is nearer to those who read it.
void MemberControl::compare(const HostName &from, const ConfigSummary &config, TimePoint now)
{
    const bool isEqual = config.digest_ == config_.digest();
    // Equal content is complete up to the higher of both revisions.
    if (isEqual)
        config_.adoptRevision(config.revision_);
    if (source_ && from != *source_)
        return;
    if (isEqual) {
        differsSince_.reset();
        return;
    }
    if (!differsSince_)
        differsSince_ = now;
    if (!isPullDue(config, now))
        return;
    nextPull_ = now + kPullPeriod;
    // What changed after this host's revision is enough, unless something from before was missed.
    const bool isMissing = now >= *differsSince_ + kMissingDelay;
    sender_.send(from, ConfigPull { isMissing ? Version {} : config_.revision() });
}

// What is on its way anyway need not be asked for.
bool MemberControl::isPullDue(const ConfigSummary &config, TimePoint now) const
{
    // Nothing is on its way to a host that has not heard of the store for so long.
    const auto age = config_.age(now);
    const bool isUnconfirmed = !age || *age >= kFreshAge;
    const bool isLate = isUnconfirmed || now >= *differsSince_ + kPullDelay;
    // A reader's revision is that of the feed read longest ago; it may have newer objects.
    const bool isBehind = source_ || config.revision_ >= config_.revision() || !age;
    return now >= nextPull_ && isLate && isBehind;
}

void MemberControl::onMessage(const HostName &from, const ConfigPull &pull)
{
    sender_.send(from, ConfigPush { config_.revision(), config_.changesSince(pull.since_) });
}

void MemberControl::onMessage(const ConfigPush &push)
{
    onConfig_(push);
}

void MemberControl::leave()
{
    membership_.leave();
    for (const Member &member : membership_.view()) {
        Probe notice;
        notice.origin_ = self_.member_.host_;
        notice.target_ = member.host_;
        notice.updates_ = membership_.updatesToPassOn(member.host_);
        sender_.send(member.host_, notice);
    }
}

bool MemberControl::othersHearStore(TimePoint now) const
{
    for (const auto &[host, heard] : heard_) {
        const bool isFresh
            = heard.at_ + kHeardWindow > now && heard.configAge_ && *heard.configAge_ < kFreshAge;
        if (isFresh)
            return true;
    }
    return false;
}

bool MemberControl::agreesWithMajority(TimePoint now) const
{
    const auto agrees = [&](const auto &entry) {
        const Heard &heard = entry.second;
        return heard.askedAt_ + kHeardWindow > now && heard.digest_ == config_.confirmedDigest();
    };
    const auto others = std::count_if(heard_.begin(), heard_.end(), agrees);
    return static_cast<std::size_t>(others) + 1 >= listedHosts_ / 2 + 1;
}

bool MemberControl::hasDiverged(TimePoint now) const
{
    return differsSince_ && now >= *differsSince_ + kDivergenceTime;
}

bool MemberControl::isSettled(TimePoint now) const
{
    if (startedAt_ == TimePoint {})
        return false;
    const bool hearsAll = listedHosts_ >= kLeastFleet && membership_.view().size() >= listedHosts_;
    return hearsAll || now >= startedAt_ + kSettlingTime;
}

void MemberControl::logViewChange()
{
    if (membership_.viewNumber() == loggedView_)
        return;
    loggedView_ = membership_.viewNumber();
    std::string hosts;
    for (const Member &member : membership_.view())
        hosts += (hosts.empty() ? "" : " ") + member.host_.str();
    log_.write(LogLine(Severity::Info, "view").add("number", loggedView_).add("hosts", hosts));
}

} // namespace pimentostage
