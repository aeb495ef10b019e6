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

/// A host that is to get a message.
struct FanOutReceiver
{
    HostName host_;
    ZoneName zone_;
    bool isStrong_ = false; ///< passes on what other hosts are too weak for
};

/// Most hosts of a data centre to which one host sends the same message.
inline constexpr std::size_t kMostBranches = 16;

/// Divides the receivers of a message among a few that pass it on.
///
/// The message goes into each other data centre once, to a strong host if there is one, and no host
/// sends it to more than kMostBranches in its own. It reaches n hosts after steps that grow with
/// the logarithm of n. What is lost with a host that fails on the way has to come by another way.
/// @param receivers in the order in which equals are preferred for passing the message on.
/// @param own the sender's data centre.
std::vector<FanOutBranch> fanOut(const std::vector<FanOutReceiver> &receivers, const ZoneName &own);

/// As fanOut(), within a data centre whose hosts are alike.
std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers);

} // namespace pimentostage
