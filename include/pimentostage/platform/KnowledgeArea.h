#pragma once

#include "pimentostage/base/EnumNames.h"
#include "pimentostage/platform/Objects.h"

#include <array>
#include <optional>

namespace pimentostage {

/// A part of the store's content with a deadline for its changes. The store confirms each part on
/// its own, and a host knows the age of each part.
///
/// What belongs to none (roles, placements, registrations) needs no confirmation: whatever is done
/// on it carries an epoch or is a conditional write.
enum class KnowledgeArea {
    Configuration, ///< what decides whether requests are accepted
    Backends,
    Zones,
};

template <>
struct EnumTable<KnowledgeArea>
{
    static constexpr std::array kRows {
        EnumName<KnowledgeArea> { KnowledgeArea::Configuration, "configuration" },
        EnumName<KnowledgeArea> { KnowledgeArea::Backends, "backends" },
        EnumName<KnowledgeArea> { KnowledgeArea::Zones, "zones" },
    };
};

/// @return the kind of the objects of @p area; nothing for the configuration, whose kinds depend on
///         the store.
constexpr std::optional<ObjectKind> kindOf(KnowledgeArea area)
{
    constexpr std::array<std::optional<ObjectKind>, kEnumCount<KnowledgeArea>> kKinds {
        std::nullopt, ObjectKind::Backend, ObjectKind::Zone
    };
    return kKinds.at(static_cast<std::size_t>(area));
}

} // namespace pimentostage
