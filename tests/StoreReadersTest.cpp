#include "tests/fakes/CoreFleet.h"

#include <gtest/gtest.h>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kHosts = 5;
constexpr std::uint64_t kSeed = 517'274;

/// Time within which a configuration change must be in force on all hosts; the users' target.
constexpr Duration kChangeTime = 2s;

ControlOptions withTwoReaders()
{
    ControlOptions options;
    options.readers_ = 2;
    return options;
}

} // namespace

// The view determines which hosts read, so the test cuts off every pair once.
TEST(StoreReaders, ChangeIsInForceInTimeWhenBothReadersLoseTheStore)
{
    for (std::size_t first = 0; first < kHosts; ++first) {
        for (std::size_t second = first + 1; second < kHosts; ++second) {
            const InjectedFault none;
            CoreFleet fleet(kHosts, kSeed, none, withTwoReaders());
            fleet.run(10s);
            const Version before = fleet.zoneVersion(0, 1);
            // A change ends the watches, so that the hosts' confirmations are as recent as
            // possible.
            fleet.setZoneOut(0, true);
            fleet.run(100ms);
            fleet.cutHostFromStore(first, true);
            fleet.cutHostFromStore(second, true);
            fleet.setZoneOut(1, true);
            fleet.run(kChangeTime);
            for (std::size_t host = 0; host < kHosts; ++host) {
                EXPECT_GT(fleet.zoneVersion(host, 1), before)
                    << "host " << host << ", without store: " << first << " and " << second;
            }
        }
    }
}
