#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <string>

namespace pimentostage {

/// Stage of a roll-out.
enum class RolloutPhase { Observing, Switching, Complete, RolledBack };

template <>
struct EnumTable<RolloutPhase>
{
    static constexpr std::array kRows {
        EnumName<RolloutPhase> { RolloutPhase::Observing, "observing" },
        EnumName<RolloutPhase> { RolloutPhase::Switching, "switching" },
        EnumName<RolloutPhase> { RolloutPhase::Complete, "complete" },
        EnumName<RolloutPhase> { RolloutPhase::RolledBack, "rolled-back" },
    };
};

/// An operator's order to move a service's traffic to another version.
struct RolloutOrder
{
    ServiceName service_;
    std::string target_; ///< the version
    Duration duration_ {}; ///< time within which the roll-out must end
};

} // namespace pimentostage
