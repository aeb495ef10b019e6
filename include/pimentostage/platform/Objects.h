#pragma once

#include "pimentostage/backend/Rollout.h"
#include "pimentostage/base/EnumNames.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/Time.h"
#include "pimentostage/platform/Generation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// Kinds of objects in the platform's store.
enum class ObjectKind {
    Service,
    Contract,
    TeamKey,
    Zone,
    Backend,
    LostHost,
    Role,
    Placement,
    Catalogue,
    RangePlacement,
    EntryHost,
    Rollout,
    RolloutState,
};

template <>
struct EnumTable<ObjectKind>
{
    static constexpr std::array kRows {
        EnumName<ObjectKind> { ObjectKind::Service, "service" },
        EnumName<ObjectKind> { ObjectKind::Contract, "contract" },
        EnumName<ObjectKind> { ObjectKind::TeamKey, "key" },
        EnumName<ObjectKind> { ObjectKind::Zone, "zone" },
        EnumName<ObjectKind> { ObjectKind::Backend, "backend" },
        EnumName<ObjectKind> { ObjectKind::LostHost, "lost-host" },
        EnumName<ObjectKind> { ObjectKind::Role, "role" },
        EnumName<ObjectKind> { ObjectKind::Placement, "placement" },
        EnumName<ObjectKind> { ObjectKind::Catalogue, "catalogue" },
        EnumName<ObjectKind> { ObjectKind::RangePlacement, "ranges" },
        EnumName<ObjectKind> { ObjectKind::EntryHost, "host" },
        EnumName<ObjectKind> { ObjectKind::Rollout, "rollout" },
        EnumName<ObjectKind> { ObjectKind::RolloutState, "rollout-state" },
    };
};

/// Identifies one object of the store.
struct ObjectRef
{
    ObjectKind kind_;
    std::string name_;

    auto operator<=>(const ObjectRef &) const = default;
    /// @return "kind/name".
    [[nodiscard]] std::string str() const { return std::string(toString(kind_)) + '/' + name_; }
};

/// Position of an object's content in the order in which its writer produced it. It does not
/// decrease if the store is restored from a copy.
struct WriterPosition
{
    std::uint64_t term_ = 0; ///< incarnation or role epoch of the writer; zero if it has none
    std::uint64_t sequence_ = 0; ///< within the term

    auto operator<=>(const WriterPosition &) const = default;
    /// @return whether the writer reports no position.
    [[nodiscard]] bool isUnknown() const { return *this == WriterPosition {}; }
};

/// One version of an object as stored.
struct StoredObject
{
    ObjectRef ref_;
    Version version_;
    bool deleted_ = false;
    std::string value_; ///< JSON text; empty if deleted
    WriterPosition position_ {}; ///< of a deleted object: that of its last known content

    auto operator<=>(const StoredObject &) const = default;
};

/// Who may call a route.
enum class Access { Open, Team };

template <>
struct EnumTable<Access>
{
    static constexpr std::array kRows {
        EnumName<Access> { Access::Open, "open" },
        EnumName<Access> { Access::Team, "team" },
    };
};

/// What running a route's requests does, and which way most of their bytes go.
enum class RouteKind {
    Safe, ///< reads; changes nothing
    Unsafe, ///< may change something, so that running it twice may do harm
    Upload, ///< as Unsafe, with a large request body
    Download, ///< as Safe, with a large answer
};

template <>
struct EnumTable<RouteKind>
{
    static constexpr std::array kRows {
        EnumName<RouteKind> { RouteKind::Safe, "safe" },
        EnumName<RouteKind> { RouteKind::Unsafe, "unsafe" },
        EnumName<RouteKind> { RouteKind::Upload, "upload" },
        EnumName<RouteKind> { RouteKind::Download, "download" },
    };
};

/// @return whether running a request of @p kind twice does no harm, so that it may be repeated even
///         if it may have run.
constexpr bool isIdempotent(RouteKind kind)
{
    return kind == RouteKind::Safe || kind == RouteKind::Download;
}

/// What a catalogue without a list of teams means for the routes that do not state their access.
enum class MissingTeams {
    Open, ///< requests need no key
    Closed, ///< as an empty list: no key is valid, and only routes that state so are open
};

template <>
struct EnumTable<MissingTeams>
{
    static constexpr std::array kRows {
        EnumName<MissingTeams> { MissingTeams::Open, "open" },
        EnumName<MissingTeams> { MissingTeams::Closed, "closed" },
    };
};

/// Whether the back ends of a service check a request's fencing epoch against their grant.
enum class Fencing { Checked, Unchecked };

template <>
struct EnumTable<Fencing>
{
    static constexpr std::array kRows {
        EnumName<Fencing> { Fencing::Checked, "checked" },
        EnumName<Fencing> { Fencing::Unchecked, "unchecked" },
    };
};

/// How a back end is chosen for a service that is not keyed.
enum class Balancing { LowestCost, PowerOfTwo, LeastLoaded, RoundRobin, ExpectedTime };

template <>
struct EnumTable<Balancing>
{
    static constexpr std::array kRows {
        EnumName<Balancing> { Balancing::LowestCost, "lowest-cost" },
        EnumName<Balancing> { Balancing::PowerOfTwo, "power-of-two" },
        EnumName<Balancing> { Balancing::LeastLoaded, "least-loaded" },
        EnumName<Balancing> { Balancing::RoundRobin, "round-robin" },
        EnumName<Balancing> { Balancing::ExpectedTime, "expected-time" },
    };
};

/// Whether a data centre accepts new work.
enum class ZoneState { In, Out };

template <>
struct EnumTable<ZoneState>
{
    static constexpr std::array kRows {
        EnumName<ZoneState> { ZoneState::In, "in" },
        EnumName<ZoneState> { ZoneState::Out, "out" },
    };
};

/// How the keys of a keyed service are divided among its back ends.
enum class KeyDivision { Hashed, Ordered };

template <>
struct EnumTable<KeyDivision>
{
    static constexpr std::array kRows {
        EnumName<KeyDivision> { KeyDivision::Hashed, "hashed" },
        EnumName<KeyDivision> { KeyDivision::Ordered, "ordered" },
    };
};

/// Whether a back end accepts new work, as it reports itself.
enum class BackendState { Ready, Draining };

template <>
struct EnumTable<BackendState>
{
    static constexpr std::array kRows {
        EnumName<BackendState> { BackendState::Ready, "ready" },
        EnumName<BackendState> { BackendState::Draining, "draining" },
    };
};

/// One service's share of a route's requests.
struct ServiceShare
{
    ServiceName service_;
    double weight_ = 1; ///< relative to the weights of the route's other services
};

/// One route: matches the requests of a service or a virtual host by their path prefix.
struct Route
{
    RouteName name_;
    std::string host_; ///< virtual host; set only for routes of a catalogue
    std::string method_; ///< HTTP method in upper case; empty allows all
    std::string prefix_; ///< starts with '/'; relative to the service's path if host_ is empty
    std::vector<ServiceShare> services_; ///< not empty for routes of a catalogue
    std::uint32_t priority_ = 0; ///< 0 is the highest; applies when capacity is short
    std::uint32_t maxAttempts_ = 3; ///< maximum number of back ends that one request is sent to
    Duration target_ {}; ///< latency objective; zero if unspecified
    Access access_ = Access::Team;
    RouteKind routeKind_ = RouteKind::Unsafe;
    std::string kind_; ///< request kind that contracts refer to
    double weight_ = 1; ///< tokens that one request costs its team
    Duration timeout_ {};
};

/// A service that callers reach under "/<name>/".
struct Service
{
    ServiceName name_;
    bool keyed_ = false;
    KeyDivision division_ = KeyDivision::Hashed;
    std::uint32_t keySegment_ = 0; ///< index of the path segment that holds the key
    std::uint32_t shardCount_ = 0;
    Fencing fencing_ = Fencing::Checked;
    Balancing balancing_ = Balancing::LowestCost;
    std::vector<Route> routes_;
    std::string healthPath_; ///< health check path of its back ends; empty if they have none
    std::uint32_t connections_ = 0; ///< maximum per back end, from all hosts; 0 if unspecified
    Duration coldTime_ {}; ///< how long a started back end stays cold
    double coldRate_ = 0; ///< requests per second that a cold back end supports; 0 if unspecified
};

/// What one team may request across all hosts.
struct Contract
{
    TeamName team_;
    double rate_ = 0; ///< tokens per second
    double burst_ = 0; ///< tokens
    bool isLimited_ = true; ///< whether rate_ and burst_ apply
    double share_ = 1; ///< weight when capacity is short
    std::optional<std::uint32_t> priority_; ///< overrides the route's priority
    std::uint32_t connections_ = 0; ///< maximum number of open connections per entry host
    std::vector<std::string> kinds_; ///< request kinds allowed; empty allows all
};

/// A key with which a team authenticates itself. Only the hash is stored.
struct TeamKey
{
    std::string name_;
    TeamName team_;
    std::string sha256_; ///< lower-case hexadecimal
};

/// State of a data centre as set by the operators.
struct Zone
{
    ZoneName name_;
    ZoneState state_ = ZoneState::In;
    Duration ramp_ {}; ///< time over which traffic to a returning data centre ramps up
};

/// A registered backend server.
struct Backend
{
    BackendName name_;
    ServiceName service_;
    ZoneName zone_;
    Address address_;
    std::uint32_t slots_ = 0; ///< maximum number of concurrent requests
    std::uint32_t connections_ = 0; ///< maximum number of connections from all hosts
    BackendState state_ = BackendState::Ready;
    Incarnation incarnation_; ///< start of its process; zero if not reported
    Duration coldFor_ {}; ///< time left until it is warm, as of when the object was read
    std::string version_; ///< of the software that it runs; empty if not reported or not in use
};

/// An operator's order of a roll-out, as stored.
struct Rollout
{
    RolloutOrder order_;
    std::string id_; ///< tells a repeated order from the former one; empty if the writer has none

    /// @return whether @p other is the same order: the store may give the same order a new version
    ///         when its status is written. Durations are stored in whole milliseconds.
    [[nodiscard]] bool isSameOrder(const Rollout &other) const
    {
        return order_.service_ == other.order_.service_ && order_.target_ == other.order_.target_
               && toMilliseconds(order_.duration_) == toMilliseconds(other.order_.duration_)
               && id_ == other.id_;
    }
};

/// What operators are told of a roll-out.
enum class RolloutStatus { Running, Complete, RolledBack };

template <>
struct EnumTable<RolloutStatus>
{
    static constexpr std::array kRows {
        EnumName<RolloutStatus> { RolloutStatus::Running, "running" },
        EnumName<RolloutStatus> { RolloutStatus::Complete, "complete" },
        EnumName<RolloutStatus> { RolloutStatus::RolledBack, "rolled_back" },
    };
};

/// @return what operators are told of a roll-out in @p phase.
constexpr RolloutStatus statusOf(RolloutPhase phase)
{
    constexpr std::array<RolloutStatus, kEnumCount<RolloutPhase>> kStatus {
        RolloutStatus::Running, RolloutStatus::Running, RolloutStatus::Complete,
        RolloutStatus::RolledBack
    };
    return kStatus.at(static_cast<std::size_t>(phase));
}

/// The state of a service's last roll-out, written by the holder of the role `rollouts`.
struct RolloutState
{
    Rollout rollout_; ///< the order that it belongs to
    Version orderedAt_; ///< version of the order when it was begun
    RolloutPhase phase_ = RolloutPhase::Observing;
    std::string current_; ///< the version in force when the order was begun
    double share_ = 0; ///< share of the traffic that the target may get while `Switching`, 0 to 1
    Duration elapsed_ {}; ///< since the order, when this was written
    Epoch roleEpoch_; ///< of the holder that wrote it
    bool isReported_ = false; ///< whether operators have been told how the roll-out ended

    /// @return whether the roll-out has ended.
    [[nodiscard]] bool isEnded() const
    {
        return phase_ == RolloutPhase::Complete || phase_ == RolloutPhase::RolledBack;
    }
    /// @return the version in force of the service, as of this state.
    [[nodiscard]] const std::string &versionInForce() const
    {
        return phase_ == RolloutPhase::Complete ? rollout_.order_.target_ : current_;
    }
};

/// What a caller may send, and how long it may take; unset where the catalogue does not state it.
struct CallerLimits
{
    std::optional<std::uint64_t> headerBytes_; ///< maximum size of a request's headers
    std::optional<std::uint64_t> bodyBytes_; ///< maximum size of a request's body
    std::optional<Duration> headerTimeout_; ///< maximum time for a request's headers to arrive
    std::optional<Duration> idleTimeout_; ///< how long a connection may be idle

    auto operator<=>(const CallerLimits &) const = default;
};

/// All services, routes, contracts and keys in one object, so that they change atomically.
struct Catalogue
{
    std::vector<Service> services_;
    std::vector<Route> routes_;
    std::vector<Contract> contracts_;
    std::vector<TeamKey> keys_;
    /// Whether it has a list of teams, which may be empty, or is read as if it had an empty one
    /// (MissingTeams::Closed). Otherwise a route that does not state its access is open.
    bool listsTeams_ = true;
    CallerLimits limits_;
};

/// A range of an ordered key space; both ends are inclusive.
struct KeyRange
{
    std::uint32_t from_ = 0;
    std::uint32_t to_ = 0;

    auto operator<=>(const KeyRange &) const = default;
    [[nodiscard]] bool contains(std::uint32_t key) const { return from_ <= key && key <= to_; }
    [[nodiscard]] std::uint32_t size() const { return to_ - from_ + 1; }
};

/// Highest key of an ordered key space.
inline constexpr std::uint32_t kLastOrderedKey = 65535;

/// One process of a back end.
struct BackendProcess
{
    BackendName name_; ///< empty for none
    Incarnation incarnation_;

    auto operator<=>(const BackendProcess &) const = default;
    [[nodiscard]] bool isNone() const { return name_.isEmpty(); }
};

/// The owner of a range of keys.
struct RangeOwner
{
    KeyRange range_;
    BackendProcess owner_; ///< none while no back end may own the range
    Epoch epoch_; ///< fencing epoch of the grant to the owner
    BackendProcess previous_; ///< may still hold the range, which delays the grant to owner_

    auto operator<=>(const RangeOwner &) const = default;
};

/// The placement of a service with ordered keys: contiguous ranges in ascending order.
struct RangePlacement
{
    ServiceName service_;
    Epoch epoch_; ///< the highest epoch in use
    Epoch roleEpoch_; ///< epoch of the coordinator that wrote it
    /// The store's generation in which this is known to name all possible holders.
    Generation generation_;
    std::string nonce_;
    std::vector<RangeOwner> ranges_;

    /// @return the range that contains @p key, or nullptr.
    [[nodiscard]] const RangeOwner *find(std::uint32_t key) const;
};

/// An entry host's own registration in the store.
struct EntryHost
{
    HostName name_;
    Incarnation incarnation_;
    ZoneName zone_;
    Address siblingAddress_;
};

/// An operator's confirmation that processes of an entry host are permanently lost.
struct LostHost
{
    HostName name_;
    Incarnation upTo_; ///< this and earlier incarnations are lost
};

/// How many promises keep the term of a role holder open while the store does not confirm it; see
/// TermRules.h.
enum class TermRule {
    Majority, ///< those of a majority, for any time; the rule of records that state none
    Bounded, ///< those of a majority, for kMaxTimeOnPromises
    Extended, ///< as Bounded; after that time those of nearly all members
};

template <>
struct EnumTable<TermRule>
{
    static constexpr std::array kRows {
        EnumName<TermRule> { TermRule::Majority, "majority" },
        EnumName<TermRule> { TermRule::Bounded, "bounded" },
        EnumName<TermRule> { TermRule::Extended, "extended" },
    };
};

/// The term of a role holder. The holder may act until the term is known to have ended.
struct RoleTerm
{
    Epoch epoch_;
    Member holder_;
    std::vector<Member> members_; ///< the voters: members whose promises count
    TermRule rule_ = TermRule::Majority;

    auto operator<=>(const RoleTerm &) const = default;
};

/// The holder of a role, as recorded in the store.
struct RoleRecord
{
    RoleName role_;
    Epoch epoch_;
    Member holder_;
    std::vector<Member> members_; ///< the voters: members whose promises count
    TermRule rule_ = TermRule::Majority;
    std::vector<RoleTerm> predecessors_; ///< terms not known to have ended when this was written
    /// The store's generation in which this is known to list all open terms.
    Generation generation_;
    std::string nonce_; ///< identifies the writer's own change after a lost reply
    bool released_ = false; ///< the holder has released the role and no longer acts
    /// The host that does not see the holder and asks it to write the record again; empty if none.
    HostName challenger_;
};

/// The owner of one shard or one hot key.
struct ShardOwner
{
    BackendName backend_; ///< empty while there is no owner
    Epoch epoch_;

    auto operator<=>(const ShardOwner &) const = default;
};

/// A key that is placed separately from its shard.
struct HotKey
{
    std::string key_;
    ShardOwner owner_;
};

/// The placement of a keyed service.
struct Placement
{
    ServiceName service_;
    Epoch epoch_; ///< the highest epoch in use
    Epoch roleEpoch_; ///< epoch of the coordinator that wrote it
    std::string nonce_;
    std::vector<ShardOwner> shards_;
    std::vector<HotKey> hotKeys_; ///< sorted by key
    /// Sorted; entry hosts that may hold a router lease. Used if the back ends check no fence.
    std::vector<Member> routers_;
};

/// Whether the platform lists a host as live.
enum class HostState { Live, Leaving };

template <>
struct EnumTable<HostState>
{
    static constexpr std::array kRows {
        EnumName<HostState> { HostState::Live, "live" },
        EnumName<HostState> { HostState::Leaving, "leaving" },
    };
};

/// Type of a host in the platform's host list.
enum class HostKind { Entry, Backend };

template <>
struct EnumTable<HostKind>
{
    static constexpr std::array kRows {
        EnumName<HostKind> { HostKind::Entry, "entry" },
        EnumName<HostKind> { HostKind::Backend, "backend" },
    };
};

/// One row of the platform's host list. The list lags behind the actual state.
struct ListedHost
{
    std::string name_;
    HostKind kind_ = HostKind::Entry;
    HostState state_ = HostState::Live;
    ZoneName zone_;
    Address siblingAddress_; ///< address for siblings; set only for entry hosts

    auto operator<=>(const ListedHost &) const = default;
};

} // namespace pimentostage
