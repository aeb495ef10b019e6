#include "tests/fakes/CoreFleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <tuple>

using namespace pimentostage;
using namespace std::chrono_literals;

namespace {

/// A kind of random event.
struct Command
{
    const char *name_;
    void (*act_)(CoreFleet &fleet, std::size_t number);
};

std::size_t hostOf(const CoreFleet &fleet, std::size_t number)
{
    return number % fleet.hostCount();
}

std::size_t backendOf(const CoreFleet &fleet, std::size_t number)
{
    return number % fleet.backendCount();
}

constexpr Command kCommands[] = {
    { "pass", [](CoreFleet &, std::size_t) {} },
    { "pause-host",
      [](CoreFleet &fleet, std::size_t number) { fleet.pauseHost(hostOf(fleet, number), true); } },
    { "resume-host",
      [](CoreFleet &fleet, std::size_t number) { fleet.pauseHost(hostOf(fleet, number), false); } },
    { "cut-host",
      [](CoreFleet &fleet, std::size_t number) { fleet.cutHost(hostOf(fleet, number), true); } },
    { "join-host",
      [](CoreFleet &fleet, std::size_t number) { fleet.cutHost(hostOf(fleet, number), false); } },
    { "cut-host-from-store",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.cutHostFromStore(hostOf(fleet, number), true);
      } },
    { "join-host-to-store",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.cutHostFromStore(hostOf(fleet, number), false);
      } },
    { "restart-host",
      [](CoreFleet &fleet, std::size_t number) { fleet.restartHost(hostOf(fleet, number)); } },
    { "pause-backend",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.pauseBackend(backendOf(fleet, number), true);
      } },
    { "resume-backend",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.pauseBackend(backendOf(fleet, number), false);
      } },
    { "restart-backend",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.restartBackend(backendOf(fleet, number));
      } },
    { "backend-leaves",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.setBackendLeaving(backendOf(fleet, number), true);
      } },
    { "backend-stays",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.setBackendLeaving(backendOf(fleet, number), false);
      } },
    { "zone-out", [](CoreFleet &fleet,
                     std::size_t number) { fleet.setZoneOut(number % CoreFleet::kZones, true); } },
    { "zone-in", [](CoreFleet &fleet,
                    std::size_t number) { fleet.setZoneOut(number % CoreFleet::kZones, false); } },
    { "withdraw-key",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.setKeyGranted(number % CoreFleet::kTeams, false);
      } },
    { "grant-key",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.setKeyGranted(number % CoreFleet::kTeams, true);
      } },
    { "store-down", [](CoreFleet &fleet, std::size_t) { fleet.store().faults_.down_ = true; } },
    { "store-up", [](CoreFleet &fleet, std::size_t) { fleet.store().faults_.down_ = false; } },
    { "store-slow",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.store().faults_.delay_ = std::chrono::milliseconds(1 + number % 800);
      } },
    { "lose-answers",
      [](CoreFleet &fleet, std::size_t number) {
          fleet.store().faults_.losesAnswers_ = number % 2 == 0;
      } },
    { "lose-messages",
      [](CoreFleet &fleet, std::size_t number) { fleet.losesMessages_ = number % 2 == 0; } },
};

using Step = std::tuple<std::size_t, std::size_t, int>;

/// Runs @p fleet while it receives one request every 25 ms, sent to its hosts in turn.
void runWithTraffic(CoreFleet &fleet, Duration duration, std::size_t &number)
{
    for (Duration passed {}; passed < duration; passed += 25ms) {
        fleet.request(hostOf(fleet, number), number);
        number += 1;
        fleet.run(25ms);
    }
}

void runSteps(CoreFleet &fleet, const std::vector<Step> &steps)
{
    std::size_t number = 1;
    runWithTraffic(fleet, 3s, number);
    for (const auto &[command, draw, wait] : steps) {
        kCommands[command].act_(fleet, draw);
        runWithTraffic(fleet, std::chrono::milliseconds(wait), number);
    }
}

RC_GTEST_PROP(CoreFuzz, InvariantsHold, ())
{
    const InjectedFault none;
    const auto hosts = *rc::gen::inRange<std::size_t>(1, 5);
    const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
    const auto steps = *rc::gen::container<std::vector<Step>>(
        12, rc::gen::tuple(rc::gen::inRange<std::size_t>(0, std::size(kCommands)),
                           rc::gen::inRange<std::size_t>(0, 1000), rc::gen::inRange(50, 2500)));
    CoreFleet fleet(hosts, seed, none);
    runSteps(fleet, steps);
    if (!fleet.oracle().violationSummary().empty()) {
        for (const auto &[command, draw, wait] : steps)
            RC_LOG() << kCommands[command].name_ << ' ' << draw << " then " << wait << " ms\n";
        RC_FAIL(fleet.oracle().violationSummary());
    }
    // After all failures have ended, requests are served again.
    fleet.heal();
    std::size_t number = 1;
    runWithTraffic(fleet, 8s, number);
    const std::size_t before = fleet.answered();
    runWithTraffic(fleet, 2s, number);
    RC_ASSERT(fleet.answered() > before + 20);
    RC_ASSERT(fleet.oracle().violationSummary().empty());
}

TEST(CoreFleet, AnswersWhileNothingFails)
{
    const InjectedFault none;
    CoreFleet fleet(3, 1, none);
    std::size_t number = 1;
    runWithTraffic(fleet, 4s, number);
    const std::size_t before = fleet.answered();
    runWithTraffic(fleet, 5s, number);
    EXPECT_GT(fleet.answered(), before + 160) << "of 200, some of which the network loses";
    EXPECT_EQ(fleet.oracle().violationSummary(), "");
}

TEST(CoreFleet, AHostThatCannotReadTheHostListGetsLeavingBackEndsFromSiblings)
{
    const InjectedFault none;
    CoreFleet fleet(3, 1, none);
    std::size_t number = 1;
    runWithTraffic(fleet, 4s, number);
    fleet.cutHostFromStore(1, true);
    runWithTraffic(fleet, 1s, number);
    fleet.setBackendLeaving(4, true);
    runWithTraffic(fleet, 12s, number);
    EXPECT_EQ(fleet.oracle().violationSummary(), "");
}

TEST(CoreFleet, AZoneThatIsOutReceivesNothingEvenIfNoOtherZoneCanServe)
{
    const InjectedFault none;
    CoreFleet fleet(3, 1, none);
    std::size_t number = 1;
    runWithTraffic(fleet, 4s, number);
    fleet.pauseBackend(1, true);
    fleet.pauseBackend(3, true);
    runWithTraffic(fleet, 3s, number);
    fleet.setZoneOut(0, true);
    runWithTraffic(fleet, 5s, number);
    fleet.restartHost(2);
    runWithTraffic(fleet, 5s, number);
    EXPECT_EQ(fleet.oracle().violationSummary(), "");
}

/// Injected faults; the oracle test lists the rules that each one violates.
struct NoLease : public InjectedFault
{
    bool checksLease() const override { return false; }
    bool usesNewestView(std::size_t host) const override { return host != 0; }
};
struct OldView : public InjectedFault
{
    bool usesNewestView(std::size_t) const override { return false; }
};
struct NoTokens : public InjectedFault
{
    bool spendsTokens() const override { return false; }
};
struct LostPlacements : public InjectedFault
{
    bool keepsPlacements() const override { return false; }
};
struct RevertedVersions : public InjectedFault
{
    Version effectiveVersion(Version version) const override
    {
        const bool isReverted = ++calls_ % 5000 == 0;
        return isReverted ? Version { version.value_ - 1 } : version;
    }
    mutable std::uint64_t calls_ = 0;
};
/// Treats a request that was sent as not sent.
struct SentAssumedNotSent : public InjectedFault
{
    AttemptState assumedState(AttemptState state) const override
    {
        return state == AttemptState::Sent ? AttemptState::NotSent : state;
    }
};

/// Runs a sequence of events in which each injected fault violates a rule.
void runFaultScenario(CoreFleet &fleet)
{
    std::size_t number = 1;
    runWithTraffic(fleet, 4s, number);
    for (int i = 0; i < 100; ++i) {
        fleet.request(0, number);
        number += CoreFleet::kTeams;
    }
    for (std::size_t round = 0; round < 6; ++round) {
        fleet.setBackendLeaving(round % fleet.backendCount(), true);
        fleet.setZoneOut(round % 2, true);
        fleet.setKeyGranted(1, false);
        runWithTraffic(fleet, 9s, number);
        // Concurrent requests for the same key through two hosts. With some injected faults, one or
        // both use an outdated view.
        for (std::size_t i = 0; i < 40; ++i) {
            fleet.request(0, 6 * i);
            fleet.request(1, 6 * i);
            fleet.run(50ms);
        }
        fleet.heal();
        runWithTraffic(fleet, 2s, number);
    }
}

/// An injected fault and a rule that it violates.
struct FaultCase
{
    const InjectedFault &injected_;
    Rule rule_;
};

TEST(CoreFleet, TheOracleDetectsEachInjectedFault)
{
    const InjectedFault none;
    const NoLease noLease;
    const OldView oldView;
    const NoTokens noTokens;
    const LostPlacements lostPlacements;
    const RevertedVersions revertedVersions;
    const SentAssumedNotSent sentAssumedNotSent;
    const FaultCase cases[] = {
        { noLease, Rule::OneOwner },
        { lostPlacements, Rule::AssignmentSurvives },
        { oldView, Rule::ZoneOut },
        { oldView, Rule::OnlyTheKeysTeam },
        { oldView, Rule::LeavingBackend },
        { noTokens, Rule::RateAndBurst },
        { sentAssumedNotSent, Rule::TrueNotRun },
        { sentAssumedNotSent, Rule::AtMostOnce },
        { revertedVersions, Rule::NeverReverts },
    };
    EXPECT_EQ(std::size(cases), kEnumCount<Rule>);
    for (const FaultCase &row : cases) {
        CoreFleet fleet(3, 7, row.injected_);
        runFaultScenario(fleet);
        EXPECT_GT(fleet.oracle().violations(row.rule_), 0U) << toString(row.rule_);
    }
    CoreFleet correct(3, 7, none);
    runFaultScenario(correct);
    EXPECT_EQ(correct.oracle().violationSummary(), "");
}

} // namespace
