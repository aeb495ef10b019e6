#pragma once

#include "src/daemon/NodeParts.h"

namespace pimentostage {

/// @return the adapters for the product's own protocols.
NodeParts ownParts(const Settings &settings);

} // namespace pimentostage
