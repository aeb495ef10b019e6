// Rejected arrivals, waits and balance of hosts that share their observations of back ends, against
// hosts that do not. No network: the choice of back ends is the real one, the back ends are
// simulated. Then what the exchange costs a host: bytes sent, and the processor time of its control
// thread without that of the sockets.

#include "src/daemon/RoomControl.h"
#include "src/sibling/FrameCodec.h"
#include "tests/fakes/NullLog.h"
#include "tests/fakes/RoomFleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace pimentostage;

namespace {

void print(const char *name, const RoomCase &roomCase)
{
    const RoomResult result = RoomFleet(roomCase).run();
    std::printf("%-22s %4.2f %8llu %8llu %8llu %8llu %8llu %8.3f %8.3f %8.3f %8.2f %8.0f\n", name,
                roomCase.load_, static_cast<unsigned long long>(result.arrivals_),
                static_cast<unsigned long long>(result.answered_),
                static_cast<unsigned long long>(result.rejected_),
                static_cast<unsigned long long>(result.refused_),
                static_cast<unsigned long long>(result.refusedWithRoom_), result.meanSeconds_,
                result.p99Seconds_, result.meanWaitSeconds_, result.busiestOverMean_,
                result.deltasPerHostSecond_);
}

/// One host's control of the exchange; encodes what it sends and decodes as much.
class CostHost : public SiblingSender
{
public:
    CostHost(std::size_t hosts, std::size_t backends)
        : backends_(backends)
    {
        for (std::size_t other = 0; other < hosts; ++other)
            membership_.merge(hostOf(other), now_);
        Configuration configuration;
        Service service;
        service.name_ = ServiceName("plain");
        service.balancing_ = Balancing::ExpectedTime;
        configuration.services_[service.name_] = service;
        for (std::size_t i = 0; i < backends; ++i) {
            Backend backend;
            backend.name_ = nameOf(i);
            backend.service_ = service.name_;
            configuration.backends_[backend.name_] = backend;
        }
        FleetState fleet;
        fleet.entryHosts_ = hosts;
        fleet.sharesRoom_ = true;
        table_ = tables_.build(configuration, fleet, now_);
        control_.setTable(*table_);
    }

    /// @param answers per second, each of which is an observation.
    void print(std::size_t hosts, std::size_t answers)
    {
        constexpr int kSeconds = 60;
        std::clock_t used = 0;
        for (int tick = 0; tick < kSeconds * 100; ++tick) {
            now_ += std::chrono::milliseconds(10);
            for (std::size_t i = 0; i < answers / 100; ++i)
                tables_.stats(nameOf(random_.below(backends_)))->onLoadReport({ 4, 9, 1.4 }, now_);
            const std::clock_t start = std::clock();
            frames_.clear();
            control_.tick(now_);
            for (const auto &frame : frames_)
                receive(frame);
            used += std::clock() - start;
        }
        std::printf("%zu hosts, %zu back ends: %.0f bytes/s sent, %.4f %% of a core\n", hosts,
                    backends_, static_cast<double>(bytes_) / kSeconds,
                    100 * static_cast<double>(used) / CLOCKS_PER_SEC / kSeconds);
    }

    void send(const HostName &, const SiblingMessage &message) override
    {
        frames_.push_back(encodeFrame(message));
        bytes_ += frames_.back().size() + kPacketBytes;
    }

private:
    static constexpr std::size_t kPacketBytes = 80; ///< TCP and IP, acknowledgement included

    static MemberUpdate hostOf(std::size_t number)
    {
        MemberUpdate update;
        update.member_ = Member { HostName("host-" + std::to_string(number)), Incarnation { 1 } };
        return update;
    }

    static BackendName nameOf(std::size_t number)
    {
        return BackendName("worker-" + std::to_string(number));
    }

    void receive(const std::vector<std::uint8_t> &frame)
    {
        const std::vector<std::uint8_t> payload(frame.begin() + kFrameLengthBytes, frame.end());
        leaf::try_handle_all(
            [&]() -> leaf::result<void> {
                BOOST_LEAF_AUTO(message, decodeFrame(payload));
                RoomReport report = std::get<RoomReport>(message);
                for (RoomDelta &delta : report.deltas_)
                    delta.backend_ = backendNumberOf(nameOf(random_.below(backends_)).str());
                control_.onMessage(report, now_);
                return {};
            },
            [] { std::abort(); });
    }

    const std::size_t backends_;
    TimePoint now_ { std::chrono::hours(1) };
    Random random_ { 7 };
    NullLog log_;
    MetricRegistry metrics_;
    Membership membership_ { hostOf(0), Random(1) };
    RoutingTableBuilder tables_;
    std::shared_ptr<const RoutingTable> table_;
    RoomControl control_ { HostName("host-0"), membership_, *this,   tables_,
                           Random(2),          log_,        metrics_ };
    std::vector<std::vector<std::uint8_t>> frames_;
    std::size_t bytes_ = 0;
};

} // namespace

int main()
{
    std::printf("%-22s %4s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s\n", "case", "load", "arrivals",
                "answered", "rejected", "refused", "w.room", "mean s", "p99 s", "wait s", "busiest",
                "deltas/s");
    for (const double load : { 0.7, 0.95, 1.2 }) {
        RoomCase roomCase;
        roomCase.load_ = load;
        roomCase.mode_ = RoomMode::Undistinguished;
        print("undistinguished", roomCase);
        roomCase.mode_ = RoomMode::Alone;
        print("not shared", roomCase);
        roomCase.mode_ = RoomMode::Shared;
        for (const std::size_t deltas : { 10U, 34U, 130U }) {
            roomCase.deltasPerMessage_ = deltas;
            print(("shared, " + std::to_string(deltas) + " a message").c_str(), roomCase);
        }
    }
    for (const double hot : { 4.0, 9.0 }) {
        RoomCase roomCase;
        roomCase.load_ = 0.55;
        roomCase.hotOwners_ = hot;
        roomCase.mode_ = RoomMode::Undistinguished;
        print("owners, undist.", roomCase);
        roomCase.mode_ = RoomMode::Alone;
        print("owners, not shared", roomCase);
        roomCase.mode_ = RoomMode::Shared;
        print("owners, shared", roomCase);
    }
    CostHost(88, 390).print(88, 100);
    CostHost(2900, 390).print(2900, 100);
    return EXIT_SUCCESS;
}
