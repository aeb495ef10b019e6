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

/// How a request names what it is for.
enum class Addressing {
    Path, ///< by the service in the first segment of its path
    VirtualHost, ///< by its host and a prefix of its path; the routes come from a catalogue
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
    Addressing addressing_ = Addressing::Path;
    std::shared_ptr<const ConfigValidity> configValidity_ = std::make_shared<ConfigValidity>();

    /// @return whether requests that require a team key must be refused at @p now.
    [[nodiscard]] bool isStale(TimePoint now) const
    {
        return readiness_ == Readiness::Stale || !configValidity_->isValid(now);
    }

    /// @return what this host knows at @p now of the configuration in force.
    [[nodiscard]] ConfigKnowledge configKnowledge(TimePoint now) const
    {
        const bool lacksCatalogue
            = addressing_ == Addressing::VirtualHost && !configuration_->hasCatalogue_;
        if (readiness_ == Readiness::Starting || lacksCatalogue)
            return ConfigKnowledge::Missing;
        const bool isOutdated = isStale(now) || !configValidity_->isCurrent(now);
        return isOutdated ? ConfigKnowledge::Outdated : ConfigKnowledge::Current;
    }
};

} // namespace pimentostage
