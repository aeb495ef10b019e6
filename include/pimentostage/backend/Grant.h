#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// Duration of a server's lease, counted from a time stamp that the server itself issued.
inline constexpr Duration kServerLeaseDuration = std::chrono::milliseconds(1600);
/// Period at which a coordinator renews the lease of each server.
inline constexpr Duration kGrantPeriod = std::chrono::milliseconds(100);

/// Name of a unit of ownership: a shard or a hot key.
using UnitName = Name<struct UnitTag>;

/// A time stamp from a server's own clock, returned to the server in the coordinator's next grant.
///
/// The lease ends at the stamp plus its duration, so network delay cannot extend it.
struct ServerStamp
{
    Incarnation incarnation_; ///< of the server's process
    Duration at_ {}; ///< reading of the server's monotonic clock

    auto operator<=>(const ServerStamp &) const = default;
};

/// The units that a server may serve, each with its epoch.
using GrantedUnits = std::map<UnitName, Epoch>;

/// A fenced grant: the lease of one server and the units that it covers.
struct Grant
{
    ServiceName service_;
    Epoch roleEpoch_; ///< epoch of the granting coordinator
    std::uint64_t sequence_ = 0; ///< increases with each grant from one coordinator to one server
    ServerStamp stamp_; ///< from the server's last reply
    Duration lease_ {}; ///< counted by the server from stamp_
    std::optional<GrantedUnits> units_; ///< all units covered; absent if unchanged
    std::uint64_t unitsDigest_ = 0; ///< of all units covered, also if units_ is absent
};

/// Result of a grant at the server.
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

/// A server's reply to a grant.
struct GrantReply
{
    GrantResult result_ = GrantResult::Accepted;
    ServerStamp stamp_; ///< the server's clock at the time of the reply
    Epoch roleEpoch_; ///< the highest that it has received
    std::uint64_t sequence_ = 0; ///< of the newest grant accepted under roleEpoch_
    std::uint64_t unitsDigest_ = 0; ///< of the units that it holds
    std::vector<UnitName> draining_; ///< withdrawn units with requests still running
};

/// @return a hash of @p units; collisions are treated as impossible.
std::uint64_t digestOf(const GrantedUnits &units);

} // namespace pimentostage
