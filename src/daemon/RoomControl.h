#pragma once

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/base/Random.h"
#include "pimentostage/sibling/Membership.h"
#include "pimentostage/sibling/Messages.h"
#include "pimentostage/sibling/RoomDigest.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace pimentostage {

/// Exchanges observations of back ends with the siblings, a few of them in each period.
///
/// Lives on the control thread. Traffic threads read what it receives in the stats of the back ends
/// that their RoutingTable names.
class RoomControl
{
public:
    RoomControl(HostName self, const Membership &membership, SiblingSender &siblings,
                RoutingTableBuilder &tables, Random random, LogSink &log, MetricRegistry &metrics);

    /// Sets the back ends whose observations are exchanged: those of @p table with sharing.
    void setTable(const RoutingTable &table);

    void tick(TimePoint now);

    void onMessage(const RoomReport &report, TimePoint now);

private:
    /// @return the number of deltas in a message that keeps this host within its bytes/s.
    [[nodiscard]] std::size_t deltasPerMessage() const;
    [[nodiscard]] Duration period() const;
    void collect();
    void logChange(TimePoint now);
    void updateOthers();

    const HostName self_;
    const Membership &membership_;
    SiblingSender &siblings_;
    RoutingTableBuilder &tables_;
    Random random_;
    LogSink &log_;
    Counter &sentDeltas_;
    Counter &receivedDeltas_;
    Counter &usedDeltas_;
    std::unordered_map<BackendNumber, std::shared_ptr<BackendStats>> backends_;
    RoomDigest digest_;
    std::vector<HostName> others_; ///< the hosts of the view numbered viewNumber_
    std::uint64_t viewNumber_ = 0;
    TimePoint nextSend_ {};
    TimePoint reportedAt_ {}; ///< when a sibling last reported
    bool isActive_ = false; ///< as last logged
};

} // namespace pimentostage
