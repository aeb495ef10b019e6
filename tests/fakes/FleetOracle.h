#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/platform/Objects.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace pimentostage {

/// Invariants of the fleet.
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

/// Records what actually happened in a fleet, in true time, and counts the violations of each rule.
class FleetOracle
{
public:
    /// @param rate tokens per second of the team whose spending is recorded.
    /// @param burst burst size of that team, in tokens.
    FleetOracle(double rate, double burst)
        : rate_(rate)
        , burst_(burst)
    { }

    /// A zone, back end or team is withdrawn and must no longer get work, or is admitted again.
    /// @param rule ZoneOut, LeavingBackend or OnlyTheKeysTeam.
    void onWithdrawn(Rule rule, const std::string &name, bool isWithdrawn, Duration now);
    /// No host can read the store at @p now, so changes cannot propagate.
    void onStoreFailed(Duration now) { storeFailedAt_ = now; }

    /// @return the number of a new request.
    std::size_t onRequest(bool idempotent);
    /// A back end begins work on a request.
    void onBegin(const std::string &zone, const std::string &backend, const std::string &team,
                 Duration now);
    /// A back end has executed a request.
    void onExecuted(std::size_t request);
    /// A caller receives the answer that its request did not run.
    void onReportedNotRun(std::size_t request);
    /// A token is spent.
    void onSpent(Duration now);
    /// An object has been written to the store.
    void onWrite(const StoredObject &object);
    /// A host has @p version of an object in force; at the last check it had @p before.
    void onVersionApplied(Version before, Version version);
    /// @param owners number of back ends that work on one key at the same time.
    void onOwners(std::size_t owners);

    [[nodiscard]] std::size_t violations(Rule rule) const;
    /// @return the names of the violated rules with their counts.
    [[nodiscard]] std::string violationSummary() const;
    /// @return the newest placement written for @p service, or nullptr.
    [[nodiscard]] const Placement *placement(const ServiceName &service) const;

private:
    /// The actual executions of a request and the outcome reported to its caller.
    struct RequestRecord
    {
        bool idempotent_ = false;
        std::size_t executions_ = 0;
        bool reportedNotRun_ = false;
    };
    struct Withdrawal
    {
        Rule rule_;
        std::string name_;

        auto operator<=>(const Withdrawal &) const = default;
    };

    void recordViolation(Rule rule) { ++violationCounts_[rule]; }
    [[nodiscard]] bool isOverdue(Rule rule, const std::string &name, Duration now) const;

    const double rate_;
    const double burst_;
    std::vector<RequestRecord> records_; ///< by request number
    std::map<Withdrawal, Duration> withdrawnSince_;
    Duration storeFailedAt_ {};
    std::map<ServiceName, Placement> placements_;
    double bucketLevel_ = 0;
    Duration spentAt_ {};
    std::map<Rule, std::size_t> violationCounts_;
};

} // namespace pimentostage
