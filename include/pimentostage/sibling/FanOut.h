#pragma once

#include "pimentostage/base/Ids.h"

#include <cstddef>
#include <vector>

namespace pimentostage {

/// A host that gets a message directly, and the hosts to which it relays the message.
struct FanOutBranch
{
    HostName to_;
    std::vector<HostName> relayTo_;
};

/// A host that should get a message.
struct FanOutReceiver
{
    HostName host_;
    ZoneName zone_;
    bool hasHighCapacity_ = false; ///< preferred for relaying messages
};

/// Maximum number of hosts in its own data centre to which a host sends the same message.
inline constexpr std::size_t kMaxBranches = 16;

/// Divides the receivers of a message among a few relays.
///
/// The message is sent to each other data centre once, to a host with high capacity if there is
/// one, and no host sends it to more than kMaxBranches hosts in its own data centre. It reaches n
/// hosts in O(log n) hops. Delivery is not guaranteed: if a relay fails, its receivers have to get
/// the content by other means.
/// @param receivers in order of preference as relays among hosts of the same capacity class.
/// @param own the sender's data centre.
std::vector<FanOutBranch> fanOut(const std::vector<FanOutReceiver> &receivers, const ZoneName &own);

/// As fanOut(), within one data centre whose hosts have the same capacity.
std::vector<FanOutBranch> fanOut(const std::vector<HostName> &receivers);

} // namespace pimentostage
