#include "src/daemon/MemberControl.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace pimentostage {

namespace {

// How long a host's report on the store and its configuration remains valid.
constexpr Duration kPeerReportLifetime = std::chrono::seconds(1);
// A younger confirmation by the store shows that the store is reachable.
constexpr Duration kMaxFreshAge = std::chrono::milliseconds(1500);
// After its start a host waits this long for messages of all others before it decides on roles.
constexpr Duration kSettlingTimeout = std::chrono::seconds(1);
// If fewer hosts are listed, others may not have registered yet.
constexpr std::size_t kMinFleetSize = 3;
// A change that other hosts relay arrives within this time over a link of 10 Mbit/s.
constexpr Duration kPullDelay = std::chrono::milliseconds(300);
// Time to wait for the reply to a pull; an earlier second pull would transfer the objects twice.
constexpr Duration kPullTimeout = std::chrono::milliseconds(500);
// A difference that lasts longer is not just one recent change that was lost in transit, so all
// objects are pulled.
constexpr Duration kFullPullDelay = std::chrono::milliseconds(1200);

// By this time two pulls, the second for all objects, have not resolved the difference.
constexpr Duration kDivergenceTimeout = std::chrono::seconds(3);

/// @return the names of the processes in @p members that @p others lacks; both are sorted.
std::string namesOfMissing(const std::vector<Member> &members, const std::vector<Member> &others)
{
    std::vector<Member> missing;
    std::set_difference(members.begin(), members.end(), others.begin(), others.end(),
                        std::back_inserter(missing));
    std::string names;
    for (const Member &member : missing)
        names += (names.empty() ? "" : " ") + member.host_.str();
    return names;
}

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

void MemberControl::addSeeds(const std::vector<Address> &seeds)
{
    for (const Address &seed : seeds) {
        if (seed == self_.address_)
            continue;
        seeds_.emplace_back(seed.str());
        membership_.addListed(seeds_.back(), seed, ZoneName {});
    }
}

void MemberControl::updateListed(const std::vector<ListedHost> &hosts)
{
    std::set<HostName> names;
    for (const ListedHost &host : hosts) {
        if (host.kind_ != HostKind::Entry)
            continue;
        names.insert(HostName(host.name_));
        membership_.addListed(HostName(host.name_), host.siblingAddress_, host.zone_);
    }
    std::set<HostName> probed = names;
    const bool isAlone = membership_.view().size() <= 1;
    if (isAlone)
        probed.insert(seeds_.begin(), seeds_.end());
    membership_.dropUnlisted(probed);
    names.insert(self_.member_.host_);
    listedHosts_ = names.size();
    std::erase_if(peerReports_, [&](const auto &entry) { return !names.contains(entry.first); });
}

void MemberControl::setSource(const std::optional<HostName> &source)
{
    if (source == source_)
        return;
    source_ = source;
    differsSince_.reset();
    membership_.setAlwaysProbedHost(source);
}

void MemberControl::tick(TimePoint now)
{
    if (startedAt_ == TimePoint {})
        startedAt_ = now;
    for (const OutgoingProbe &outgoing : membership_.tick(now)) {
        Probe probe;
        probe.origin_ = self_.member_.host_;
        probe.target_ = outgoing.target_;
        probe.sequence_ = outgoing.sequence_;
        probe.updates_ = membership_.updatesToSend(outgoing.via_);
        probe.config_ = summary(now);
        sender_.send(outgoing.via_, probe);
    }
    logViewChange();
}

ConfigSummary MemberControl::summary(TimePoint now) const
{
    ConfigSummary summary { config_.revision(), config_.digest(), config_.confirmedDigest(),
                            config_.readAge(now) };
    for (const auto &row : EnumTable<KnowledgeArea>::kRows) {
        if (row.value_ != KnowledgeArea::Configuration)
            summary.areas_.push_back({ row.value_, config_.confirmedDigest(row.value_),
                                       config_.readAge(now, row.value_) });
    }
    return summary;
}

void MemberControl::onMessage(const HostName &from, const Probe &probe, TimePoint now)
{
    // The sender's own state is the first update.
    const bool isNewMember = !probe.updates_.empty() && probe.origin_ == from
                             && !membership_.isInView(probe.updates_.front().member_);
    applyReport(from, probe.updates_, probe.config_, now);
    const bool isForThisHost
        = probe.target_ == self_.member_.host_ || probe.target_.str() == self_.address_.str();
    if (!isForThisHost) {
        sender_.send(probe.target_, probe);
        return;
    }
    ProbeAck ack;
    ack.origin_ = probe.origin_;
    ack.responder_ = self_.member_.host_;
    ack.sequence_ = probe.sequence_;
    ack.updates_
        = isNewMember ? membership_.updatesForNewMember() : membership_.updatesToSend(from);
    ack.config_ = summary(now);
    sender_.send(from, ack);
}

void MemberControl::onMessage(const HostName &from, const ProbeAck &ack, TimePoint now)
{
    applyReport(from, ack.updates_, ack.config_, now);
    if (ack.origin_ != self_.member_.host_) {
        sender_.send(ack.origin_, ack);
        return;
    }
    // The reported age was correct at some time after the probe was sent. The delay of the reply is
    // unknown, so the age is dated from the time of the probe.
    const auto probeSentAt = membership_.directProbeSentAt(ack.sequence_);
    if (probeSentAt) {
        PeerReport &report = peerReports_[ack.responder_];
        report.probeSentAt_ = *probeSentAt;
        report.confirmedDigest_ = ack.config_.confirmedDigest_;
    }
    if (probeSentAt)
        confirmThrough(ack.config_, *probeSentAt);
    membership_.onAck(ack.responder_, ack.sequence_, now);
}

void MemberControl::confirmThrough(const ConfigSummary &summary, TimePoint probeSentAt)
{
    if (summary.age_)
        config_.confirmThroughSibling(summary.confirmedDigest_, *summary.age_, probeSentAt);
    for (const AreaSummary &area : summary.areas_) {
        if (area.age_)
            config_.confirmThroughSibling(area.digest_, *area.age_, probeSentAt, area.area_);
    }
}

void MemberControl::applyReport(const HostName &from, const std::vector<MemberUpdate> &updates,
                                const ConfigSummary &config, TimePoint now)
{
    for (const MemberUpdate &update : updates)
        membership_.merge(update, now);
    PeerReport &report = peerReports_[from];
    report.receivedAt_ = now;
    report.configAge_ = config.age_;
    compareConfig(from, config, now);
}

// If there is a source, only its summary decides on pulls: other hosts may lack the same change,
// while the source is closer to the readers.
void MemberControl::compareConfig(const HostName &from, const ConfigSummary &config, TimePoint now)
{
    const bool isEqual = config.digest_ == config_.digest();
    // With equal content, both hosts are complete up to the higher of the two revisions.
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
    nextPull_ = now + kPullTimeout;
    // The changes since this host's revision suffice unless an earlier one was missed.
    const bool needsAll = now >= *differsSince_ + kFullPullDelay;
    sender_.send(from, ConfigPull { needsAll ? Version {} : config_.revision() });
}

// A pull is not due while the missing objects are probably in transit.
bool MemberControl::isPullDue(const ConfigSummary &config, TimePoint now) const
{
    // Nothing is in transit to a host whose configuration has been unconfirmed for so long.
    const auto age = config_.age(now);
    const bool isUnconfirmed = !age || *age >= kMaxFreshAge;
    const bool isLate = isUnconfirmed || now >= *differsSince_ + kPullDelay;
    // A reader's revision is that of its least recently read feed; it may have newer objects.
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
        notice.updates_ = membership_.updatesToSend(member.host_);
        sender_.send(member.host_, notice);
    }
}

bool MemberControl::othersReachStore(TimePoint now) const
{
    for (const auto &[host, report] : peerReports_) {
        const bool isFresh = report.receivedAt_ + kPeerReportLifetime > now && report.configAge_
                             && *report.configAge_ < kMaxFreshAge;
        if (isFresh)
            return true;
    }
    return false;
}

bool MemberControl::agreesWithMajority(TimePoint now) const
{
    // Hosts that rejected the same version agree, but none of them has what may be in force.
    if (!config_.isConfirmable())
        return false;
    const auto agrees = [&](const auto &entry) {
        const PeerReport &report = entry.second;
        return report.probeSentAt_ + kPeerReportLifetime > now
               && report.confirmedDigest_ == config_.confirmedDigest();
    };
    const auto others = std::count_if(peerReports_.begin(), peerReports_.end(), agrees);
    return static_cast<std::size_t>(others) + 1 >= listedHosts_ / 2 + 1;
}

bool MemberControl::hasDiverged(TimePoint now) const
{
    return differsSince_ && now >= *differsSince_ + kDivergenceTimeout;
}

bool MemberControl::isSettled(TimePoint now) const
{
    if (startedAt_ == TimePoint {})
        return false;
    // Checked first, because the view is copied to count its hosts.
    if (now >= startedAt_ + kSettlingTimeout)
        return true;
    return listedHosts_ >= kMinFleetSize && membership_.view().size() >= listedHosts_;
}

void MemberControl::logViewChange()
{
    if (membership_.viewNumber() == loggedView_)
        return;
    loggedView_ = membership_.viewNumber();
    std::vector<Member> view = membership_.view();
    // The whole view would be 5 KB for 195 hosts, with each of its changes, at each host.
    log_.write(LogLine(Severity::Info, "view")
                   .add("number", loggedView_)
                   .add("hosts", static_cast<std::uint64_t>(view.size()))
                   .add("joined", namesOfMissing(view, loggedMembers_))
                   .add("left", namesOfMissing(loggedMembers_, view)));
    loggedMembers_ = std::move(view);
}

} // namespace pimentostage
