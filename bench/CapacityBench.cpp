// Growth rates for docs/CAPACITY.md: messages, bytes, CPU time and memory by size of the fleet.
//
// Hosts run their real control code on a simulated event queue; CPU time is that of the process.

#include "pimentostage/backend/ShardCoordinator.h"
#include "pimentostage/platform/ConfigState.h"
#include "pimentostage/platform/CoordinationCodec.h"
#include "pimentostage/platform/ObjectCodec.h"
#include "src/backend/GrantCodec.h"
#include "src/daemon/MemberControl.h"
#include "src/sibling/FrameCodec.h"
#include "tests/fakes/AllowanceFleet.h"
#include "tests/fakes/EventQueue.h"
#include "tests/fakes/NullLog.h"

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <malloc.h>
#include <sys/resource.h>

namespace {

using namespace pimentostage;
using namespace std::chrono_literals;

double cpuSeconds()
{
    rusage usage {};
    getrusage(RUSAGE_SELF, &usage);
    const double kMillion = 1e6;
    return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec)
           + static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / kMillion;
}

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// The MemberControl objects of many hosts, run on a simulated event queue.
class MemberFleet
{
public:
    explicit MemberFleet(std::size_t hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            addHost(i);
        std::vector<ListedHost> listed;
        for (const auto &host : hosts_) {
            ListedHost row;
            row.name_ = host->self_.member_.host_.str();
            listed.push_back(row);
        }
        for (std::size_t i = 0; i < hosts; ++i) {
            hosts_[i]->control_->updateListed(listed);
            // Staggers the first ticks of the hosts over 100 ms.
            events_.after(std::chrono::microseconds(100'000 * i / hosts), [this, i] { tick(i); });
        }
    }

    void run(Duration duration)
    {
        events_.runUntil(events_.now() + duration, [] {});
    }

    /// Adds a new object to the configuration of host @p index, as if the host had read it from
    /// the store.
    void inject(std::size_t index, std::uint64_t version)
    {
        Host &host = *hosts_[index];
        const StoredObject object { { ObjectKind::Zone, "zone-" + std::to_string(version) },
                                    Version { version },
                                    false,
                                    "{\"state\":\"in\"}" };
        host.config_.apply(object);
        host.config_.confirm(now());
        host.config_.adoptRevision(Version { version });
    }

    std::size_t hostsWith(std::uint64_t version) const
    {
        std::size_t count = 0;
        for (const auto &host : hosts_)
            count += host->config_.revision().value_ >= version ? 1 : 0;
        return count;
    }

    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;

private:
    struct Host : public SiblingSender
    {
        Host(MemberFleet &fleet, std::size_t index)
            : fleet_(fleet)
            , index_(index)
        { }

        void send(const HostName &host, const SiblingMessage &message) override
        {
            fleet_.deliver(index_, host, message);
        }

        MemberFleet &fleet_;
        const std::size_t index_;
        MemberUpdate self_;
        ConfigState config_;
        std::unique_ptr<MemberControl> control_;
    };

    void addHost(std::size_t index)
    {
        auto host = std::make_unique<Host>(*this, index);
        host->self_.member_ = Member { HostName("entry-" + std::to_string(index)),
                                       Incarnation { 1'765'000'000'000'000 + index } };
        host->self_.address_ = Address { "10.0.0.1", 7350 };
        host->self_.zone_ = ZoneName("serra-a");
        Host *hostPointer = host.get();
        host->control_ = std::make_unique<MemberControl>(
            host->self_, Random(index + 1), MembershipTiming {}, host->config_, *host, log_,
            [hostPointer](const ConfigPush &push) {
                for (const StoredObject &object : push.objects_)
                    hostPointer->config_.apply(object);
                hostPointer->config_.adoptRevision(push.revision_);
            });
        indexOf_[host->self_.member_.host_] = index;
        hosts_.push_back(std::move(host));
    }

    TimePoint now() const { return TimePoint(1h) + events_.now(); }

    void tick(std::size_t index)
    {
        hosts_[index]->control_->tick(now());
        events_.after(50ms, [this, index] { tick(index); });
    }

    void deliver(std::size_t from, const HostName &to, const SiblingMessage &message)
    {
        const std::vector<std::uint8_t> frame = encodeFrame(message);
        ++messages_;
        bytes_ += frame.size();
        const std::size_t target = indexOf_.at(to);
        events_.after(500us, [this, from, target, frame] { receive(from, target, frame); });
    }

    void receive(std::size_t from, std::size_t to, const std::vector<std::uint8_t> &frame)
    {
        const std::vector<std::uint8_t> payload(frame.begin() + kFrameLengthBytes, frame.end());
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeFrame(payload));
                dispatch(hosts_[from]->self_.member_.host_, *hosts_[to]->control_, message);
                return {};
            },
            [] {});
    }

    void dispatch(const HostName &from, MemberControl &control, const SiblingMessage &message)
    {
        if (const auto *probe = std::get_if<Probe>(&message))
            control.onMessage(from, *probe, now());
        else if (const auto *ack = std::get_if<ProbeAck>(&message))
            control.onMessage(from, *ack, now());
        else if (const auto *pull = std::get_if<ConfigPull>(&message))
            control.onMessage(from, *pull);
        else if (const auto *push = std::get_if<ConfigPush>(&message))
            control.onMessage(*push);
    }

    NullLog log_;
    EventQueue events_;
    std::vector<std::unique_ptr<Host>> hosts_;
    std::map<HostName, std::size_t> indexOf_;
};

void measureMembership()
{
    std::printf("membership and spread of configuration (each host: its own control part)\n");
    std::printf("%8s %14s %14s %16s %16s %18s\n", "hosts", "messages/s", "bytes/s", "cpu us/s",
                "memory KB/host", "spread to all s");
    for (const std::size_t hosts : { 8U, 50U, 200U, 800U, 1600U }) {
        const double memoryBefore = allocatedBytes();
        MemberFleet fleet(hosts);
        fleet.run(2s);
        const std::uint64_t messages = fleet.messages_;
        const std::uint64_t bytes = fleet.bytes_;
        const double cpu = cpuSeconds();
        const Duration period = 2s;
        fleet.run(period);
        const double perHostSecond = static_cast<double>(hosts) * toSeconds(period);
        const double cpuUsed = cpuSeconds() - cpu;
        const double messageRate = static_cast<double>(fleet.messages_ - messages) / perHostSecond;
        const double byteRate = static_cast<double>(fleet.bytes_ - bytes) / perHostSecond;
        fleet.inject(0, 10);
        Duration spreadTime {};
        while (fleet.hostsWith(10) < hosts && spreadTime < 20s) {
            fleet.run(20ms);
            spreadTime += 20ms;
        }
        const double kBytesPerKilobyte = 1000;
        const double kMillion = 1e6;
        std::printf("%8zu %14.1f %14.0f %16.0f %16.1f %18.2f\n", hosts, messageRate, byteRate,
                    kMillion * cpuUsed / perHostSecond,
                    (allocatedBytes() - memoryBefore) / kBytesPerKilobyte
                        / static_cast<double>(hosts),
                    toSeconds(spreadTime));
        std::fflush(stdout);
    }
}

/// Runs one coordinator against lease holders that reply immediately, without a network.
class CoordinatorRun
{
public:
    CoordinatorRun(Fencing fencing, std::size_t servers, std::size_t routers, std::uint32_t shards)
        : coordinator_(service(fencing, shards), 1)
    {
        std::map<BackendName, CoordinatedBackend> backends;
        for (std::size_t i = 0; i < servers; ++i)
            backends[BackendName("permits-" + std::to_string(i))] = CoordinatedBackend {};
        coordinator_.setBackends(backends, now_);
        std::set<Member> members;
        for (std::size_t i = 0; i < routers; ++i)
            members.insert({ HostName("entry-" + std::to_string(i)), Incarnation { 1 } });
        coordinator_.setRouters(members);
    }

    /// Places all shards, then measures the cost of the renewals and prints a row.
    void measure()
    {
        perform(coordinator_.begin(Epoch { 1 }, now_));
        perform(coordinator_.onRead(std::nullopt, Version {}, now_));
        run(200);
        grants_ = 0;
        bytes_ = 0;
        const double cpu = cpuSeconds();
        const int kTicks = 500;
        run(kTicks);
        const double seconds = kTicks * toSeconds(kTick);
        const double kMillion = 1e6;
        std::printf(" %12.0f %14.0f %14.0f %16zu\n", static_cast<double>(grants_) / seconds,
                    static_cast<double>(bytes_) / seconds,
                    kMillion * (cpuSeconds() - cpu) / seconds,
                    formatPlacement(*coordinator_.placement()).size());
        std::fflush(stdout);
    }

private:
    static constexpr Duration kTick = 10ms;

    static Service service(Fencing fencing, std::uint32_t shards)
    {
        Service service;
        service.name_ = ServiceName("permits");
        service.keyed_ = true;
        service.shardCount_ = shards;
        service.fencing_ = fencing;
        return service;
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i) {
            now_ += kTick;
            perform(coordinator_.tick(now_));
        }
    }

    void perform(const CoordinatorActions &actions)
    {
        for (const CoordinatorAction &action : actions)
            std::visit([this](const auto &step) { perform(step); }, action);
    }

    GrantReply acknowledge(const Grant &grant)
    {
        ++grants_;
        GrantReply reply;
        reply.stamp_ = ServerStamp { Incarnation { 1 }, now_.time_since_epoch() };
        reply.roleEpoch_ = Epoch { 1 };
        reply.sequence_ = grant.sequence_;
        reply.unitsDigest_ = grant.unitsDigest_;
        return reply;
    }

    void perform(const SendGrant &send)
    {
        const GrantReply reply = acknowledge(send.grant_);
        bytes_ += formatGrant(send.grant_).size() + formatGrantReply(reply).size();
        coordinator_.onGrantReply(send.backend_, reply, now_);
    }

    void perform(const SendRouterGrant &send)
    {
        const GrantReply reply = acknowledge(send.grant_);
        bytes_ += encodeFrame(RouterGrant { send.grant_ }).size()
                  + encodeFrame(RouterGrantReply { send.grant_.service_, reply }).size();
        coordinator_.onRouterReply(send.router_, reply, now_);
    }

    void perform(const ProbeBackend &probe) { coordinator_.onProbeReply(probe.backend_, now_); }
    void perform(const WritePlacement &) { coordinator_.onWritten(Version { ++version_ }, now_); }
    void perform(const ReadPlacement &) { }
    void perform(const MoveDecided &) { }

    ShardCoordinator coordinator_;
    TimePoint now_ { 1h };
    std::uint64_t grants_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t version_ = 0;
};

void measureCoordinator()
{
    std::printf("\ncoordinator of one service (renewals answered at once; after the start)\n");
    std::printf("%8s %8s %12s %14s %14s %16s\n", "servers", "shards", "grants/s", "bytes/s",
                "cpu us/s", "placement bytes");
    const std::vector<std::pair<std::size_t, std::uint32_t>> sizes { { 8, 256 },    { 50, 256 },
                                                                     { 200, 256 },  { 8, 4096 },
                                                                     { 50, 4096 },  { 200, 4096 },
                                                                     { 200, 16384 } };
    for (const auto &[servers, shards] : sizes) {
        std::printf("%8zu %8u", servers, shards);
        CoordinatorRun(Fencing::Checked, servers, 0, shards).measure();
    }
}

void measureRouterGrants()
{
    std::printf("\ncoordinator of one service whose back ends check no fence (8 servers)\n");
    std::printf("%8s %8s %12s %14s %14s %16s\n", "routers", "shards", "grants/s", "bytes/s",
                "cpu us/s", "placement bytes");
    const std::vector<std::pair<std::size_t, std::uint32_t>> sizes {
        { 8, 256 }, { 50, 256 }, { 200, 256 }, { 800, 256 }, { 200, 4096 }
    };
    for (const auto &[routers, shards] : sizes) {
        std::printf("%8zu %8u", routers, shards);
        CoordinatorRun(Fencing::Unchecked, 8, routers, shards).measure();
    }
}

void measureAllowance()
{
    std::printf("\nallowance of one account (70 %% of 50/s for each host, even traffic)\n");
    std::printf("%8s %22s %22s\n", "hosts", "messages/s for all", "messages/s for a host");
    for (const std::size_t hosts : { 8U, 32U, 128U, 512U }) {
        const double rate = 50.0 * static_cast<double>(hosts);
        AllowanceFleet fleet(hosts, { rate, rate }, 1);
        Random random(1);
        const auto offerFor = [&](Duration duration) {
            const Duration end = fleet.now() + duration;
            while (fleet.now() < end) {
                fleet.offer(random.below(hosts));
                fleet.run(fromSeconds(-std::log(1 - random.unit()) / (0.7 * rate)));
            }
        };
        offerFor(3s);
        const std::uint64_t before = fleet.messages();
        offerFor(5s);
        const double perSecond = static_cast<double>(fleet.messages() - before) / 5;
        std::printf("%8zu %22.1f %22.2f\n", hosts, perSecond,
                    perSecond / static_cast<double>(hosts));
        std::fflush(stdout);
    }
}

void measureConfiguration()
{
    std::printf("\nconfiguration (one change to a state of many objects)\n");
    std::printf("%10s %18s %18s\n", "objects", "cpu ms a change", "memory bytes/object");
    for (const std::uint64_t objects : { 100U, 1000U, 10000U }) {
        const double memoryBefore = allocatedBytes();
        ConfigState state;
        std::uint64_t version = 0;
        const auto apply = [&](std::uint64_t number, bool rebuilds) {
            Contract contract;
            contract.rate_ = static_cast<double>(1 + version);
            contract.burst_ = 10;
            contract.connections_ = 1;
            state.apply({ { ObjectKind::Contract, "team-" + std::to_string(number) },
                          Version { ++version },
                          false,
                          formatContract(contract) });
            if (rebuilds)
                static_cast<void>(state.configuration());
        };
        for (std::uint64_t i = 0; i < objects; ++i) {
            apply(i, false);
        }
        apply(0, true);
        const double memory = (allocatedBytes() - memoryBefore) / static_cast<double>(objects);
        const double cpu = cpuSeconds();
        const int kChanges = 20;
        for (int i = 0; i < kChanges; ++i)
            apply(static_cast<std::uint64_t>(i), true);
        const double kMillisecondsPerSecond = 1000;
        std::printf("%10lu %18.3f %18.0f\n", objects,
                    kMillisecondsPerSecond * (cpuSeconds() - cpu) / kChanges, memory);
        std::fflush(stdout);
    }
}

void measurePlacementMemory()
{
    std::printf("\nplacement of one service in a router\n");
    std::printf("%10s %18s %18s %18s\n", "shards", "stored bytes", "memory bytes", "parse ms");
    for (const std::size_t shards : { 1024U, 4096U, 16384U, 65536U }) {
        Placement placement;
        placement.shards_.resize(shards);
        for (std::size_t i = 0; i < shards; ++i) {
            placement.shards_[i].backend_ = BackendName("permits-" + std::to_string(i % 200));
            placement.shards_[i].epoch_ = Epoch { i % 1000 };
        }
        placement.epoch_ = Epoch { 1000 };
        const std::string text = formatPlacement(placement);
        const double memoryBefore = allocatedBytes();
        const double cpu = cpuSeconds();
        std::vector<Placement> copies;
        const int kCopies = 8;
        for (int i = 0; i < kCopies; ++i) {
            leaf::try_handle_all(
                [&]() -> leaf::result<void> {
                    BOOST_LEAF_AUTO(parsed, parsePlacement("permits", text));
                    copies.push_back(std::move(parsed));
                    return {};
                },
                [] {});
        }
        const double kMillisecondsPerSecond = 1000;
        std::printf("%10zu %18zu %18.0f %18.2f\n", shards, text.size(),
                    (allocatedBytes() - memoryBefore) / kCopies,
                    kMillisecondsPerSecond * (cpuSeconds() - cpu) / kCopies);
        std::fflush(stdout);
    }
}

struct Measurement
{
    const char *name_;
    void (*measure_)();
};

constexpr Measurement kMeasurements[] = {
    { "membership", &measureMembership },       { "coordinator", &measureCoordinator },
    { "routers", &measureRouterGrants },        { "allowance", &measureAllowance },
    { "configuration", &measureConfiguration }, { "placement", &measurePlacementMemory },
};

} // namespace

/// Runs all measurements, or only the one named by the argument.
int main(int argc, char **argv)
{
    for (const Measurement &measurement : kMeasurements) {
        if (argc < 2 || std::string(argv[1]) == measurement.name_)
            measurement.measure_();
    }
    return 0;
}
