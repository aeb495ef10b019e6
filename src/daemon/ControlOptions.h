#pragma once

#include "pimentostage/backend/RangeCoordinator.h"
#include "pimentostage/backend/Rollout.h"
#include "pimentostage/platform/Objects.h"
#include "pimentostage/sibling/Membership.h"

namespace pimentostage {

/// Options of a host's control state.
struct ControlOptions
{
    Duration tick_ = std::chrono::milliseconds(10); ///< period of ControlCore::tick()
    /// Number of account groups, each with a role and a holder of its own; 0 to derive it from the
    /// number of accounts.
    std::uint64_t accountGroups_ = 4;
    /// Requests that need a team's key are refused if neither the store nor a sibling has confirmed
    /// the configuration for this long.
    Duration maxConfigAge_ = std::chrono::seconds(3);
    /// Time within which a change must be in force on all hosts; zero for none. A host whose
    /// configuration was confirmed longer ago does not refuse requests for good.
    Duration changeDeadline_ {};
    /// What a catalogue without a list of teams means.
    MissingTeams missingTeams_ = MissingTeams::Open;
    /// Whether agreement with a majority of the entry hosts also confirms an older configuration.
    /// Valid only where the store is reachable either by all hosts or by none.
    bool majorityConfirms_ = true;
    /// Number of entry hosts that read and watch the store and publish to the others; 0 for all.
    std::size_t readers_ = 0;
    /// The whole fleet starts for the first time: nothing was withdrawn or has left yet, so what a
    /// host reads at its start may be some seconds old.
    bool isFirstStart_ = false;
    /// A host reads the store itself if the last confirmation of the configuration received from
    /// the readers is older than this. Together with one read of the store this stays below the 2 s
    /// within which a change must be in force.
    Duration readerSilence_ = std::chrono::milliseconds(1700);
    /// As readerSilence_, for back ends: one that leaves gets no requests after 2 s.
    Duration maxBackendsAge_ = std::chrono::milliseconds(1700);
    /// As readerSilence_, for data centres: one that is taken out gets no requests after 5 s.
    Duration maxZonesAge_ = std::chrono::milliseconds(4250);
    /// Period at which back ends report their state to the store.
    Duration backendReportPeriod_ = std::chrono::seconds(1);
    /// Whether hosts send each other their observations of back ends that report their load.
    bool sharesRoom_ = true;
    /// See RoleContext::boundsTerms_; equal on all hosts.
    bool boundsTerms_ = true;
    /// Siblings' addresses that are probed until another host is in the view.
    std::vector<Address> seeds_;
    MembershipTiming membership_;
    RangeCoordinatorOptions ranges_;
    RolloutLimits rollout_; ///< of every roll-out; roll-outs are off if its share is 0
};

} // namespace pimentostage
