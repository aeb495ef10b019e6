#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/platform/Objects.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pimentostage {

/// What must always hold.
enum class Rule {
    OneOwner,
    AssignmentSurvives,
    ZoneOut,
    OnlyTheKeysTeam,
    RateAndBurst,
    TrueNotRun,
    AtMostOnce,
    LeavingBackend,
    NeverReverts,
};

template <>
struct EnumTable<Rule>
{
    static constexpr std::array kRows {
        EnumName<Rule> { Rule::OneOwner, "one-owner" },
        EnumName<Rule> { Rule::AssignmentSurvives, "assignment-survives" },
        EnumName<Rule> { Rule::ZoneOut, "zone-out" },
        EnumName<Rule> { Rule::OnlyTheKeysTeam, "only-the-keys-team" },
        EnumName<Rule> { Rule::RateAndBurst, "rate-and-burst" },
        EnumName<Rule> { Rule::TrueNotRun, "true-not-run" },
        EnumName<Rule> { Rule::AtMostOnce, "at-most-once" },
        EnumName<Rule> { Rule::LeavingBackend, "leaving-backend" },
        EnumName<Rule> { Rule::NeverReverts, "never-reverts" },
    };
};

/// Keeps what really happened in a fleet, by true time, and counts how often each rule was broken.
class FleetOracle
{
public:
    /// @param terms bound of the team whose spending is noted.
    FleetOracle(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
    { }

    /// Something takes no new work any more, or takes it again.
    /// @param rule ZoneOut, LeavingBackend or OnlyTheKeysTeam.
    void onWithdrawn(Rule rule, const std::string &name, bool isWithdrawn, Duration now);
    /// Nobody can read the store now, so nobody can learn of a change.
    void onStoreFailed(Duration now) { storeFailedAt_ = now; }

    /// @return the number of a new request.
    std::size_t onRequest(bool idempotent);
    /// Work on a request begins.
    void onBegin(const std::string &zone, const std::string &backend, const std::string &team,
                 Duration now);
    /// A request has run.
    void onExecuted(std::size_t request);
    /// A caller is told that its request did not run.
    void onToldNotRun(std::size_t request);
    /// One token is spent.
    void onSpent(Duration now);
    /// An object was written to the store.
    void onWrite(const StoredObject &object);
    /// A host has @p version of an object in force, after it had @p before.
    void onInForce(Version before, Version version);
    /// @param owners back ends that work on one key at this moment.
    void onOwners(std::size_t owners);

    [[nodiscard]] std::size_t broken(Rule rule) const;
    /// @return the names of broken rules, with how often.
    [[nodiscard]] std::string brokenRules() const;
    /// @return the newest placement written for @p service, or nullptr.
    [[nodiscard]] const Placement *placement(const ServiceName &service) const;

private:
    /// What really became of a request, and what its caller was told.
    struct RequestRecord
    {
        bool idempotent_ = false;
        std::size_t executions_ = 0;
        bool toldNotRun_ = false;
    };
    struct Withdrawal
    {
        Rule rule_;
        std::string name_;

        auto operator<=>(const Withdrawal &) const = default;
    };

    void breakRule(Rule rule) { ++broken_[rule]; }
    [[nodiscard]] bool isOverdue(Rule rule, const std::string &name, Duration now) const;

    const double rate_;
    const double burst_;
    std::vector<RequestRecord> records_; ///< by request number
    std::map<Withdrawal, Duration> withdrawnSince_;
    Duration storeFailedAt_ {};
    std::map<ServiceName, Placement> placements_;
    double owed_ = 0;
    Duration spentAt_ {};
    std::map<Rule, std::size_t> broken_;
};

} // namespace pimentostage
