#pragma once

#include "pimentostage/backend/Grant.h"
#include "pimentostage/backend/HotKeyTracker.h"
#include "pimentostage/platform/Objects.h"
#include "pimentostage/sibling/Allowance.h"
#include "pimentostage/sibling/Membership.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentostage {

/// First message on a connection: who sends.
struct Hello
{
    MemberUpdate self_;
};

/// How complete and how fresh a host's configuration is.
struct ConfigSummary
{
    Version revision_;
    std::uint64_t digest_ = 0;
    std::uint64_t confirmedDigest_ = 0; ///< of the part that `age_` is about
    std::optional<Duration> age_; ///< time since the store confirmed it
};

/// Asks `target_` whether it is alive; a host that is not the target passes it on.
struct Probe
{
    HostName origin_;
    HostName target_;
    std::uint64_t sequence_ = 0;
    std::vector<MemberUpdate> updates_;
    ConfigSummary config_;
};

/// Answers a Probe; a host that is not the origin passes it on.
struct ProbeAck
{
    HostName origin_;
    HostName responder_;
    std::uint64_t sequence_ = 0;
    std::vector<MemberUpdate> updates_;
    ConfigSummary config_;
};

/// Asks for objects that changed after a revision.
struct ConfigPull
{
    Version since_;
};

/// Objects that changed, complete up to a revision.
struct ConfigPush
{
    Version revision_;
    std::vector<StoredObject> objects_;
    std::vector<HostName> relayTo_ {}; ///< hosts to which the receiver passes them on
};

/// Asks for a promise; the sender's clock comes back in the reply.
struct PromiseRequest
{
    RoleName role_;
    Epoch epoch_;
    Duration sentAt_ {};
};

/// A promise for kPromiseLife.
struct PromiseReply
{
    RoleName role_;
    Epoch epoch_;
    Duration sentAt_ {}; ///< as in the request
};

/// Asks to release epochs up to one.
struct ReleaseRequest
{
    RoleName role_;
    Epoch epoch_;
};

/// Epochs are released; an earlier promise binds for another `remaining_`.
struct ReleaseReply
{
    RoleName role_;
    Epoch epoch_;
    Duration remaining_ {};
};

/// The sender acts no more in a role under epochs up to one.
struct StepDown
{
    RoleName role_;
    Epoch epoch_;
};

/// Asks the holder of accounts for loans; the sender's clock comes back in the reply.
struct LoanRequests
{
    std::vector<AllowanceRequest> requests_;
    Duration sentAt_ {};
    RoleName role_; ///< of a complete report, else empty
    /// If set, the requests name every account of the role's group in which the sender may hold a
    /// share, and it takes no loan of an earlier epoch any more.
    Epoch completeFor_;
};

/// The loans asked for, as far as the sender holds the accounts.
struct LoanReplies
{
    std::vector<AllowanceLoan> loans_;
    Duration sentAt_ {}; ///< as in the request
    RoleName role_; ///< as in the request
    Epoch completeFor_; ///< as in the request
};

/// The sender holds accounts and is short of tokens: give back what is not needed and ask anew.
struct LoanRecall
{
    std::vector<AccountName> accounts_;
};

/// A back end's cold start has begun or ended.
struct BackendWarmth
{
    BackendName backend_;
    bool isCold_ = false;
};

/// A coordinator's grant to a router of a service whose back ends check no fence.
struct RouterGrant
{
    Grant grant_;
};

/// A router's answer to a RouterGrant.
struct RouterGrantReply
{
    ServiceName service_;
    GrantReply reply_;
};

/// Asks for LeavingHosts, since the sender cannot read the platform's host list.
struct LeavingHostsPull
{ };

/// Names that the platform's host list says to be leaving, as the sender read it lately.
struct LeavingHosts
{
    std::vector<std::string> names_;
};

/// Any message between entry hosts. The index is the message's number on the wire.
using SiblingMessage = std::variant<Hello, Probe, ProbeAck, ConfigPull, ConfigPush, PromiseRequest,
                                    PromiseReply, ReleaseRequest, ReleaseReply, StepDown,
                                    LoanRequests, LoanReplies, LoanRecall, BackendWarmth, KeyLoad,
                                    RouterGrant, RouterGrantReply, LeavingHostsPull, LeavingHosts>;

/// Sends messages to other entry hosts.
class SiblingSender
{
public:
    virtual ~SiblingSender() = default;
    /// Sends without waiting; a message to a host out of reach is lost.
    virtual void send(const HostName &host, const SiblingMessage &message) = 0;
};

} // namespace pimentostage
