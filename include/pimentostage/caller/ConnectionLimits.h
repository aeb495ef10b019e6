#pragma once

#include "pimentostage/base/Ids.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace pimentostage {

class CallerConnection;

/// Counts the open connections from callers to this host, in total and per team.
///
/// A CallerConnection may outlive this object: it shares ownership of the counts.
class ConnectionLimits
{
public:
    /// @param maxOpen maximum number of open connections of all teams together.
    explicit ConnectionLimits(std::size_t maxOpen);

    /// @return a new connection, which is counted until it is destroyed. It is also counted if it
    ///         exceeds the limit.
    std::shared_ptr<CallerConnection> open();

    /// @return the number of open connections that have sent a request.
    [[nodiscard]] std::size_t openCount() const;

private:
    friend class CallerConnection;
    struct Counts;

    std::shared_ptr<Counts> counts_;
};

/// A caller's connection, which is counted until it is destroyed.
class CallerConnection
{
public:
    CallerConnection(std::shared_ptr<ConnectionLimits::Counts> counts, bool isWithinLimit);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// @return whether the limit for all teams was kept when the connection was opened.
    [[nodiscard]] bool isWithinLimit() const { return isWithinLimit_; }

    /// Counts the connection for @p team instead of the team that it was counted for before.
    /// @param maxConnections maximum number of open connections of the team.
    /// @return whether the team is within its limit. If not, nothing changes.
    bool bind(const TeamName &team, std::size_t maxConnections);

private:
    void unbind();

    const std::shared_ptr<ConnectionLimits::Counts> counts_;
    const bool isWithinLimit_;
    TeamName team_; ///< that the connection is counted for; empty if none
};

} // namespace pimentostage
