#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/platform/Objects.h"

#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// Read the placement from the store; report the result with onRead() or onReadFailed().
struct ReadPlacement
{ };

/// Write the placement if the stored version is `expected_`; report the result with onWritten(),
/// onConflict() or onWriteFailed().
struct WritePlacement
{
    Placement placement_;
    Version expected_;
};

/// Send `grant_` to a server; report a reply with onGrantReply().
struct SendGrant
{
    BackendName backend_;
    Grant grant_;
};

/// Send `grant_` to an entry host; report a reply with onRouterReply().
struct SendRouterGrant
{
    Member router_;
    Grant grant_;
};

/// Probe a server that does not check grants; report a reply with onProbeReply().
struct ProbeBackend
{
    BackendName backend_;
};

/// Reason for moving a unit, for the log.
enum class MoveReason { Unowned, OwnerLost, OwnerWithdrawn, Balance, HotKey };

template <>
struct EnumTable<MoveReason>
{
    static constexpr std::array kRows {
        EnumName<MoveReason> { MoveReason::Unowned, "unowned" },
        EnumName<MoveReason> { MoveReason::OwnerLost, "owner-lost" },
        EnumName<MoveReason> { MoveReason::OwnerWithdrawn, "owner-withdrawn" },
        EnumName<MoveReason> { MoveReason::Balance, "balance" },
        EnumName<MoveReason> { MoveReason::HotKey, "hot-key" },
    };
};

/// A placement decision, for the log.
struct MoveDecided
{
    std::string unit_;
    BackendName from_;
    BackendName to_;
    MoveReason reason_ = MoveReason::Unowned;
};

using CoordinatorAction = std::variant<ReadPlacement, WritePlacement, SendGrant, SendRouterGrant,
                                       ProbeBackend, MoveDecided>;
using CoordinatorActions = std::vector<CoordinatorAction>;

} // namespace pimentostage
