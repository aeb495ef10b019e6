#pragma once

#include "pimentostage/backend/ExposureLease.h"
#include "pimentostage/backend/Grant.h"
#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/backend/RolloutOutcomes.h"
#include "pimentostage/platform/KnowledgeArea.h"
#include "pimentostage/platform/Objects.h"
#include "pimentostage/sibling/Allowance.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/RoomDigest.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// First message on a connection; identifies the sender.
struct Hello
{
    MemberUpdate self_;
};

/// Digest and age of what a host knows of one KnowledgeArea other than the configuration.
struct AreaSummary
{
    KnowledgeArea area_ = KnowledgeArea::Backends;
    std::uint64_t digest_ = 0;
    std::optional<Duration> age_; ///< time since the store confirmed it
};

/// Revision, digests and ages of what a host knows of the store's content.
struct ConfigSummary
{
    Version revision_;
    std::uint64_t digest_ = 0;
    std::uint64_t confirmedDigest_ = 0; ///< of the part to which `age_` refers
    /// Time since the store confirmed that this host has that part, in force or rejected.
    std::optional<Duration> age_;
    std::vector<AreaSummary> areas_ {};
};

/// Checks whether `target_` is alive; a host that is not the target forwards the probe.
struct Probe
{
    HostName origin_;
    HostName target_;
    std::uint64_t sequence_ = 0;
    std::vector<MemberUpdate> updates_;
    ConfigSummary config_;
};

/// Reply to a Probe; a host that is not the origin forwards it.
struct ProbeAck
{
    HostName origin_;
    HostName responder_;
    std::uint64_t sequence_ = 0;
    std::vector<MemberUpdate> updates_;
    ConfigSummary config_;
};

/// Requests the objects that changed after a revision.
struct ConfigPull
{
    Version since_;
};

/// Changed objects, complete up to a revision.
struct ConfigPush
{
    Version revision_;
    std::vector<StoredObject> objects_;
    std::vector<HostName> relayTo_ {}; ///< hosts to which the receiver forwards them
};

/// Requests a promise; the reply returns the sender's timestamp.
struct PromiseRequest
{
    RoleName role_;
    Epoch epoch_;
    Duration sentAt_ {};
};

/// A promise that is valid for kPromiseDuration.
struct PromiseReply
{
    RoleName role_;
    Epoch epoch_;
    Duration sentAt_ {}; ///< as in the request
};

/// Requests the release of all epochs up to `epoch_`.
struct ReleaseRequest
{
    RoleName role_;
    Epoch epoch_;
};

/// Epochs up to `epoch_` are released; an earlier promise stays in force for `remaining_`.
struct ReleaseReply
{
    RoleName role_;
    Epoch epoch_;
    Duration remaining_ {};
};

/// The sender no longer acts in a role under epochs up to `epoch_`.
struct StepDown
{
    RoleName role_;
    Epoch epoch_;
};

/// Requests allowance leases from the holder of accounts; the reply returns the sender's timestamp.
struct AllowanceRequests
{
    std::vector<AllowanceRequest> requests_;
    Duration sentAt_ {};
    RoleName role_; ///< role of a complete report, else empty
    /// Epoch of the holder that receives a complete report. If set, the requests name every account
    /// of the role's group in which the sender may hold a share, and the sender no longer accepts
    /// leases of earlier epochs.
    Epoch reportEpoch_;
};

/// The requested leases, for those accounts that the sender holds.
struct AllowanceReplies
{
    std::vector<AllowanceLease> leases_;
    Duration sentAt_ {}; ///< as in the request
    RoleName role_; ///< as in the request
    Epoch reportEpoch_; ///< as in the request
};

/// Reclaims unused allowance: the sender holds the accounts and is short of tokens. The receiver
/// returns what it does not need in a new request.
struct AllowanceReclaim
{
    std::vector<AccountName> accounts_;
};

/// A back end's cold start has started or ended.
struct BackendColdState
{
    BackendName backend_;
    bool isCold_ = false;
};

/// A coordinator's grant to a router of a service whose back ends do not check fences.
struct RouterGrant
{
    Grant grant_;
};

/// A router's reply to a RouterGrant.
struct RouterGrantReply
{
    ServiceName service_;
    GrantReply reply_;
};

/// Requests LeavingHosts because the sender cannot read the platform's host list.
struct LeavingHostsPull
{ };

/// Names of the hosts that are leaving according to the platform's host list, as last read by the
/// sender.
struct LeavingHosts
{
    std::vector<std::string> names_;
};

/// What became of a service's requests at the sender since its roll-out began; sent to the holder
/// of the role `rollouts`.
struct VersionOutcomeReport
{
    ServiceName service_;
    std::string target_; ///< version that is rolled out
    Duration sentAt_ {}; ///< the reply returns it
    ExposureUse use_;
    /// Sorted by route; at most kMaxReportedRoutes, the last of which sums up all others.
    std::vector<RouteOutcomes> routes_;
};

/// The receiver's lease for each version; the reply to a VersionOutcomeReport.
struct ExposureLeases
{
    ServiceName service_;
    std::string target_; ///< as in the report
    Duration sentAt_ {}; ///< as in the report
    ExposureLease lease_;
};

/// Observations of back ends that the sender has made or heard of lately, newest first.
struct RoomReport
{
    std::vector<RoomDelta> deltas_;
};

/// Any message between entry hosts. The index of an alternative is its number on the wire.
using SiblingMessage
    = std::variant<Hello, Probe, ProbeAck, ConfigPull, ConfigPush, PromiseRequest, PromiseReply,
                   ReleaseRequest, ReleaseReply, StepDown, AllowanceRequests, AllowanceReplies,
                   AllowanceReclaim, BackendColdState, KeyLoad, RouterGrant, RouterGrantReply,
                   LeavingHostsPull, LeavingHosts, RoomReport, VersionOutcomeReport,
                   ExposureLeases>;

/// Sends messages to other entry hosts.
class SiblingSender
{
public:
    virtual ~SiblingSender() = default;
    /// Sends without blocking; a message to an unreachable host is lost.
    virtual void send(const HostName &host, const SiblingMessage &message) = 0;
};

} // namespace pimentostage
