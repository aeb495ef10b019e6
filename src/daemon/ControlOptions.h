#pragma once

#include "pimentostage/backend/RangeCoordinator.h"
#include "pimentostage/sibling/Membership.h"

namespace pimentostage {

/// Settings of a host's control state.
struct ControlOptions
{
    Duration tick_ = std::chrono::milliseconds(10); ///< between two looks at what is due
    std::uint64_t accountGroups_ = 4; ///< groups of accounts, each with a holder of its own
    /// A configuration that neither the store nor a sibling has confirmed for this long is not
    /// trusted with requests that need a team's key.
    Duration mostConfigAge_ = std::chrono::seconds(3);
    /// Whether a majority of the entry hosts vouches for an older configuration, as it may where
    /// the store serves either all hosts or none.
    bool majorityVouches_ = true;
    /// Entry hosts that read and watch the store, and tell the others; 0 for all.
    std::size_t readers_ = 0;
    /// A host that hears nothing as young as this from the readers reads the store itself.
    /// With a read of the store it stays below the 2 s in which a change is to be in force.
    Duration readerSilence_ = std::chrono::milliseconds(1700);
    MembershipTiming membership_;
    RangeCoordinatorOptions ranges_;
};

} // namespace pimentostage
