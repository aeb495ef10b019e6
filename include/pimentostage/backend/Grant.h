#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// Length of a server's lease, counted from a stamp of the server itself.
inline constexpr Duration kServerLease = std::chrono::milliseconds(1600);
/// How often a coordinator renews the lease of each server.
inline constexpr Duration kGrantPeriod = std::chrono::milliseconds(100);

/// Name of what is owned as one: a shard or a hot key.
using UnitName = Name<struct UnitTag>;

/// A moment on a server's own clock, issued by it and handed back by the granter.
///
/// A lease that ends at a stamp plus its length cannot be lengthened by a slow network.
struct ServerStamp
{
    Incarnation incarnation_; ///< start of the server's process
    Duration at_ {}; ///< the server's monotonic clock

    auto operator<=>(const ServerStamp &) const = default;
};

/// Epoch of each unit that a server may serve.
using GrantedUnits = std::map<UnitName, Epoch>;

/// A fenced grant: the lease of one server, and what it covers.
struct Grant
{
    ServiceName service_;
    Epoch roleEpoch_; ///< epoch of the granting coordinator
    std::uint64_t sequence_ = 0; ///< rises with each grant of one coordinator to one server
    ServerStamp stamp_; ///< from the server's last reply
    Duration lease_ {}; ///< counted by the server from stamp_
    std::optional<GrantedUnits> units_; ///< all units covered; empty if they are unchanged
    std::uint64_t unitsDigest_ = 0; ///< of the units covered, also if they are unchanged
};

/// What became of a grant at the server.
enum class GrantResult { Accepted, StaleRole, StaleSequence, UnknownStamp, UnknownUnits };

template <>
struct EnumTable<GrantResult>
{
    static constexpr std::array kRows {
        EnumName<GrantResult> { GrantResult::Accepted, "accepted" },
        EnumName<GrantResult> { GrantResult::StaleRole, "stale-role" },
        EnumName<GrantResult> { GrantResult::StaleSequence, "stale-sequence" },
        EnumName<GrantResult> { GrantResult::UnknownStamp, "unknown-stamp" },
        EnumName<GrantResult> { GrantResult::UnknownUnits, "unknown-units" },
    };
};

/// A server's answer to a grant.
struct GrantReply
{
    GrantResult result_ = GrantResult::Accepted;
    ServerStamp stamp_; ///< the server's clock now
    Epoch roleEpoch_; ///< the highest it has seen
    std::uint64_t sequence_ = 0; ///< of the newest grant taken under roleEpoch_
    std::uint64_t unitsDigest_ = 0; ///< of the units it now holds
    std::vector<UnitName> draining_; ///< withdrawn units whose requests still run
};

/// @return a hash of @p units that is equal exactly for equal units, for practical purposes.
std::uint64_t digestOf(const GrantedUnits &units);

} // namespace pimentostage
