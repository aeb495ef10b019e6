// Rejected arrivals, waits and balance of hosts that share their observations of back ends, against
// hosts that do not. No network: the choice of back ends is the real one, the back ends are
// simulated.

#include "tests/fakes/RoomFleet.h"

#include <cstdio>
#include <cstdlib>

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
        for (const std::size_t deltas : { 10U, 40U, 130U }) {
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
    return EXIT_SUCCESS;
}
