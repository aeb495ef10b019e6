#include "src/daemon/RoomControl.h"

#include <algorithm>
#include <set>

namespace pimentostage {

namespace {

// Siblings to which a host sends in each period. With two, an observation reaches 88 hosts in about
// four periods.
constexpr std::size_t kReceivers = 2;
// Most requests stay in a data centre, and links between data centres are narrow or charged by the
// byte. In one period out of this many, the receivers are of any data centre.
constexpr std::uint64_t kLocalPeriods = 8;
// In a larger fleet an observation takes more periods to spread, and each host gets news of a
// back end from more of them; the messages are kept fewer, as each costs more than its content.
constexpr std::size_t kLargeFleet = 500; // hosts
constexpr Duration kPeriod = std::chrono::milliseconds(100);
constexpr Duration kLargeFleetPeriod = std::chrono::milliseconds(200);
// Bytes/s that a host sends, and on average receives. Of the 28 KB/s for all control traffic of a
// host in a large fleet, its share is 4 KB/s. A smaller one has less other traffic, and with 390
// back ends half of that left twice as many arrivals rejected at 1.2 times the capacity.
constexpr double kBytesPerSecond = 24'576;
constexpr double kLargeFleetBytesPerSecond = 4096;
// Frame, envelope and the headers of TCP and IP, its acknowledgement included.
constexpr double kMessageBytes = 100;
constexpr double kDeltaBytes = 15; // the largest for up to 127 running and waiting requests

} // namespace

RoomControl::RoomControl(const MemberUpdate &self, const Membership &membership,
                         SiblingSender &siblings, RoutingTableBuilder &tables, Random random,
                         LogSink &log, MetricRegistry &metrics)
    : self_(self.member_.host_)
    , zone_(self.zone_)
    , membership_(membership)
    , siblings_(siblings)
    , tables_(tables)
    , random_(random)
    , log_(log)
    , sentDeltas_(metrics.counter("pimento_room_deltas_sent_total",
                                  "Observations of back ends sent to other entry hosts."))
    , receivedDeltas_(metrics.counter("pimento_room_deltas_received_total",
                                      "Observations of back ends received from other hosts."))
    , usedDeltas_(metrics.counter("pimento_room_deltas_used_total",
                                  "Received observations that were newer than this host's."))
{ }

void RoomControl::setTable(const RoutingTable &table)
{
    backends_.clear();
    std::set<BackendNumber> ambiguous;
    for (const auto &[name, routes] : table.services_) {
        for (const Candidate &candidate : routes.candidates_) {
            if (!candidate.sharing_)
                continue;
            const BackendNumber number = backendNumberOf(candidate.backend_.name_.str());
            if (!backends_.try_emplace(number, candidate.stats_).second)
                ambiguous.insert(number);
        }
    }
    // An observation of one of them could be taken for the other's.
    for (const BackendNumber number : ambiguous)
        backends_.erase(number);
}

void RoomControl::tick(TimePoint now)
{
    if (backends_.empty() || now < nextSend_)
        return;
    updateOthers();
    nextSend_ = now + period();
    logChange(now);
    if (others_.empty())
        return;
    collect();
    RoomReport report { digest_.take(deltasPerMessage(), now) };
    if (report.deltas_.empty())
        return;
    const bool toAny = neighbours_.empty() || periods_++ % kLocalPeriods == 0;
    send(report, toAny ? others_ : neighbours_);
}

void RoomControl::send(const RoomReport &report, std::vector<HostName> &receivers)
{
    for (std::size_t sent = 0; sent < std::min(kReceivers, receivers.size()); ++sent) {
        std::swap(receivers[sent], receivers[sent + random_.below(receivers.size() - sent)]);
        siblings_.send(receivers[sent], report);
        sentDeltas_.add(report.deltas_.size());
    }
}

void RoomControl::onMessage(const RoomReport &report, TimePoint now)
{
    reportedAt_ = now;
    tables_.onRoomReport(now);
    receivedDeltas_.add(report.deltas_.size());
    for (const RoomDelta &delta : report.deltas_) {
        const auto backend = backends_.find(delta.backend_);
        if (backend == backends_.end())
            continue;
        const RoomObservation observation = RoomDigest::observationOf(delta, now);
        // This host's own may be newer than what it has sent.
        digest_.add(delta.backend_, backend->second->room().newest());
        if (!digest_.addReceived(delta.backend_, observation))
            continue;
        backend->second->room().onObservation(observation);
        usedDeltas_.add();
    }
}

void RoomControl::collect()
{
    for (const auto &[number, stats] : backends_) {
        const RoomObservation newest = stats->room().newest();
        if (newest.at_ != TimePoint {})
            digest_.add(number, newest);
    }
}

void RoomControl::logChange(TimePoint now)
{
    const bool isActive = reportedAt_ != TimePoint {} && now - reportedAt_ < kRoomExpiry;
    if (isActive == isActive_)
        return;
    isActive_ = isActive;
    log_.write(LogLine(Severity::Info, "room-sharing")
                   .add("active", isActive)
                   .add("hosts", static_cast<std::uint64_t>(others_.size() + 1))
                   .add("backends", static_cast<std::uint64_t>(backends_.size())));
}

// The view is copied only when it changes: it has thousands of hosts.
void RoomControl::updateOthers()
{
    if (membership_.viewNumber() == viewNumber_)
        return;
    viewNumber_ = membership_.viewNumber();
    others_.clear();
    neighbours_.clear();
    for (const Member &member : membership_.view()) {
        if (member.host_ == self_)
            continue;
        others_.push_back(member.host_);
        const auto known = membership_.find(member.host_);
        if (known && known->zone_ == zone_)
            neighbours_.push_back(member.host_);
    }
}

Duration RoomControl::period() const
{
    return others_.size() < kLargeFleet ? kPeriod : kLargeFleetPeriod;
}

std::size_t RoomControl::deltasPerMessage() const
{
    const double bytes = others_.size() < kLargeFleet ? kBytesPerSecond : kLargeFleetBytesPerSecond;
    const double perMessage = bytes * toSeconds(period()) / kReceivers;
    return static_cast<std::size_t>((perMessage - kMessageBytes) / kDeltaBytes);
}

} // namespace pimentostage
