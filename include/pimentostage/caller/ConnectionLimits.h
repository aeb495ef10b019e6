#pragma once

#include "pimentostage/base/Ids.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace pimentostage {

class CallerConnection;

/// Counts the open connections of callers to this host, in all and by team.
///
/// Connections may outlive it: each keeps the counts alive.
class ConnectionLimits
{
public:
    /// @param mostOpen connections of all teams together.
    explicit ConnectionLimits(std::size_t mostOpen);

    /// Counts a connection for as long as the result lives.
    std::shared_ptr<CallerConnection> open();

    /// @return open connections that have sent a request.
    [[nodiscard]] std::size_t openCount() const;

private:
    friend class CallerConnection;
    struct Counts;

    std::shared_ptr<Counts> counts_;
};

/// A caller's connection, counted until it is destroyed.
class CallerConnection
{
public:
    CallerConnection(std::shared_ptr<ConnectionLimits::Counts> counts, bool isWithinLimit);
    ~CallerConnection();

    CallerConnection(const CallerConnection &) = delete;
    CallerConnection &operator=(const CallerConnection &) = delete;

    /// @return whether it was opened within the limit for all teams.
    [[nodiscard]] bool isWithinLimit() const { return isWithinLimit_; }

    /// Counts the connection for @p team, and no more for the team it was counted for before.
    /// @param most connections that the team may have open.
    /// @return whether the team is within its limit; if not, the connection is not counted for it.
    bool bind(const TeamName &team, std::size_t most);

private:
    void unbind();

    const std::shared_ptr<ConnectionLimits::Counts> counts_;
    const bool isWithinLimit_;
    TeamName team_; ///< empty while it is counted for none
};

} // namespace pimentostage
