#pragma once

#include "pimentostage/operator/ConfigEditor.h"

namespace pimentostage {

/// Orders a roll-out. An order for the same version as before is a new one.
/// @param id unique id of the order.
/// @param expected version of the order to replace; empty for the current one.
leaf::result<ChangeReport> startRollout(ConfigEditor &editor, const RolloutOrder &order,
                                        const std::string &id,
                                        std::optional<Version> expected = std::nullopt);

/// @return one line on the roll-out of @p service: its status and phase, and the version in force
///         as far as a roll-out has set it.
leaf::result<std::string> describeRollout(ConfigEditor &editor, const ServiceName &service);

} // namespace pimentostage
