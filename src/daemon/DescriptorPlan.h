#pragma once

#include <cstddef>

namespace pimentostage {

/// How the open descriptors that a process may have are divided. The rest is for connections that
/// it opens itself, listeners and files: a host has 13 connections to a back end at most, and uses
/// a few of them to each.
struct DescriptorPlan
{
    std::size_t callers_ = 0; ///< connections of callers
    std::size_t siblings_ = 0; ///< connections that other hosts open

    /// @param descriptors limit of the process: half are for callers, which on the smallest host
    ///        are 1,537, and a quarter is for other hosts.
    [[nodiscard]] static constexpr DescriptorPlan of(std::size_t descriptors)
    {
        return { descriptors / 2, descriptors / 4 };
    }
};

/// @return the plan for this process's limit of open descriptors.
[[nodiscard]] DescriptorPlan descriptorPlan();

} // namespace pimentostage
