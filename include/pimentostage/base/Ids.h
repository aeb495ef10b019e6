#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace pimentostage {

/// A string identifier with a type of its own for each kind of object, so that names of different
/// kinds cannot be mixed up.
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string value)
        : value_(std::move(value))
    { }

    /// @return the text of the name.
    [[nodiscard]] const std::string &str() const { return value_; }
    /// @return whether the name is the empty string.
    [[nodiscard]] bool isEmpty() const { return value_.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string value_;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const Name<Tag> &name)
{
    return out << name.str();
}

using HostName = Name<struct HostTag>;
using ZoneName = Name<struct ZoneTag>;
using TeamName = Name<struct TeamTag>;
using ServiceName = Name<struct ServiceTag>;
using RouteName = Name<struct RouteTag>;
using BackendName = Name<struct BackendTag>;
using RoleName = Name<struct RoleTag>;
using RequestId = Name<struct RequestIdTag>;

/// A monotonically increasing number with a type of its own for each kind of sequence.
template <typename Tag>
struct SequenceNumber
{
    std::uint64_t value_ = 0;

    auto operator<=>(const SequenceNumber &) const = default;
    /// @return the next number of the sequence.
    [[nodiscard]] SequenceNumber next() const { return SequenceNumber { value_ + 1 }; }
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const SequenceNumber<Tag> &sequence)
{
    return out << sequence.value_;
}

/// Fencing epoch of a role or of a shard.
using Epoch = SequenceNumber<struct EpochTag>;
/// Version of an object in the platform's store.
using Version = SequenceNumber<struct VersionTag>;
/// Number of one start of a host's process; a restarted process has a higher number.
using Incarnation = SequenceNumber<struct IncarnationTag>;
/// Index of a shard of a keyed service.
using ShardId = SequenceNumber<struct ShardTag>;

/// One process of an entry host, as a member of the fleet.
struct Member
{
    HostName host_;
    Incarnation incarnation_;

    auto operator<=>(const Member &) const = default;
};

/// Number of a TCP connection, unique among those of one client; 0 is none.
using ConnectionId = std::uint64_t;

/// A TCP address with a numeric IP address.
struct Address
{
    std::string ip_;
    std::uint16_t port_ = 0;

    auto operator<=>(const Address &) const = default;
    /// @return "ip:port".
    [[nodiscard]] std::string str() const { return ip_ + ':' + std::to_string(port_); }
};

} // namespace pimentostage

template <typename Tag>
struct std::hash<pimentostage::Name<Tag>>
{
    std::size_t operator()(const pimentostage::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.str());
    }
};
