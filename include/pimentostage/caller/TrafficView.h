#pragma once

#include "pimentostage/backend/RoutingTable.h"
#include "pimentostage/caller/ConfigValidity.h"
#include "pimentostage/platform/Configuration.h"
#include "pimentostage/sibling/LocalTokenBucket.h"

#include <map>
#include <memory>

namespace pimentostage {

/// Whether this host may serve requests that require a team key.
enum class Readiness { Starting, Ready, Stale, Stopping };

template <>
struct EnumTable<Readiness>
{
    static constexpr std::array kRows {
        EnumName<Readiness> { Readiness::Starting, "starting" },
        EnumName<Readiness> { Readiness::Ready, "ready" },
        EnumName<Readiness> { Readiness::Stale, "stale" },
        EnumName<Readiness> { Readiness::Stopping, "stopping" },
    };
};

/// Snapshot of everything that traffic threads read.
///
/// It is immutable; the control thread replaces it as a whole.
struct TrafficView
{
    std::shared_ptr<const Configuration> configuration_;
    std::shared_ptr<const RoutingTable> routing_;
    std::map<TeamName, std::shared_ptr<LocalTokenBucket>> tokenBuckets_;
    Readiness readiness_ = Readiness::Starting;
    std::shared_ptr<const ConfigValidity> configValidity_ = std::make_shared<ConfigValidity>();

    /// @return whether requests that require a team key must be refused at @p now.
    [[nodiscard]] bool isStale(TimePoint now) const
    {
        return readiness_ == Readiness::Stale || !configValidity_->isValid(now);
    }
};

} // namespace pimentostage
