#pragma once

#include "src/daemon/PeerAdapters.h"

namespace pimentostage {

/// @return the adapters for the product's own protocols.
PeerAdapters nativeAdapters(const Settings &settings);

} // namespace pimentostage
