#pragma once

#include "pimentostage/base/Ids.h"

#include <cstddef>
#include <vector>

namespace pimentostage {

/// One host that gets a message straight, and the hosts to which it passes the message on.
struct FanOutBranch
{
    HostName to_;
    std::vector<HostName> relayTo_;
};

/// Most hosts to which one host sends the same message.
inline constexpr std::size_t kMostBranches = 16;

/// Divides the receivers of a message, so that no host sends it more than kMostBranches times.
///
/// A message reaches n hosts after steps that grow with the logarithm of n. What is lost with a
/// host that fails on the way has to come by another way.
/// @param receivers in the order in which they are preferred for passing the message on.
/// @param strong how many of the first receivers pass on what the others are too weak for; 0 if
///        all are alike.
std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers, std::size_t strong);

} // namespace pimentostage
