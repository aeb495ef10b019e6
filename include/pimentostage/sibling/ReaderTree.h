#pragma once

#include "pimentostage/sibling/Membership.h"

#include <optional>

namespace pimentostage {

/// Selects the hosts that read the store, and the source from which each other host gets
/// confirmations that its configuration is current.
///
/// Hosts are ranked for this task by rankedFor(), those with a high capacity first. The first few
/// are readers. In each data centre without a reader, the first host uses a reader as its source.
/// Each further host uses a host of its data centre that is a constant factor closer to the front
/// of the ranking within that data centre.
/// Confirmations by the store thus reach all hosts in a number of hops logarithmic in the size of
/// the fleet, and few requests cross data centres. In a small fleet, all hosts of a data centre
/// without a reader use readers directly.
class ReaderTree
{
public:
    /// @param readers number of hosts that read; 0 if all hosts do.
    ReaderTree(MemberUpdate self, std::size_t readers);

    /// Recomputes the tree if the view of @p membership has changed.
    void update(const Membership &membership);

    /// @return whether this host reads the store on behalf of the others.
    [[nodiscard]] bool isReader() const { return isReader_; }
    /// @return the host to request confirmations from; nothing at a reader.
    [[nodiscard]] const std::optional<HostName> &source() const { return source_; }

    /// Maximum number of hosts that use the same host of their data centre as source. Each of them
    /// costs that host a request and a reply per probe period.
    static constexpr std::size_t kMaxChildren = 16;

private:
    const MemberUpdate self_;
    const std::size_t readers_;
    std::uint64_t viewNumber_ = 0;
    bool isReader_ = false;
    std::optional<HostName> source_;
};

} // namespace pimentostage
