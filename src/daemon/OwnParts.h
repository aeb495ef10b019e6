#pragma once

#include "src/daemon/NodeParts.h"

namespace pimentostage {

/// @return the parts of a host that speaks the product's own protocols.
NodeParts ownParts(const Settings &settings);

} // namespace pimentostage
