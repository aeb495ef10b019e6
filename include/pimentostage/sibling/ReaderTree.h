#pragma once

#include "pimentostage/sibling/Membership.h"

#include <optional>

namespace pimentostage {

/// Which hosts read the store, and whom each other host asks how current its configuration is.
///
/// The hosts are ranked for the task, the strongest first. The first few read. The first of each
/// other data centre asks a reader; each further host asks one of its own data centre that is a
/// constant number of times nearer to the front, so that a confirmation by the store reaches all
/// after steps that grow with the logarithm of the fleet, and few questions leave a data centre.
class ReaderTree
{
public:
    /// @param readers hosts that read; 0 if all do.
    ReaderTree(MemberUpdate self, std::size_t readers);

    /// Follows the view of @p membership.
    void update(const Membership &membership);

    /// @return whether this host is one of those that read for all.
    [[nodiscard]] bool isReader() const { return isReader_; }
    /// @return the host to ask; nothing at a reader.
    [[nodiscard]] const std::optional<HostName> &source() const { return source_; }

    /// Most hosts of one data centre that ask the same one of it. Each
    /// costs it a question and an answer in every probe period.
    static constexpr std::size_t kMostAskers = 16;

private:
    const MemberUpdate self_;
    const std::size_t readers_;
    std::uint64_t viewNumber_ = 0;
    bool isReader_ = false;
    std::optional<HostName> source_;
};

} // namespace pimentostage
