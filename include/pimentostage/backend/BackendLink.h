#pragma once

#include "pimentostage/backend/Grant.h"

#include <functional>
#include <optional>

namespace pimentostage {

/// Sends a coordinator's grants and probes to back ends. Callbacks run on the control thread.
class BackendLink
{
public:
    /// Called with the back end's reply, or std::nullopt if none arrived.
    using OnGrantReply = std::function<void(const std::optional<GrantReply> &)>;
    /// Called with true if the back end answered.
    using OnProbeReply = std::function<void(bool)>;

    virtual ~BackendLink() = default;

    virtual void grant(const Address &backend, const Grant &grant, OnGrantReply done) = 0;
    virtual void probe(const Address &backend, OnProbeReply done) = 0;
};

} // namespace pimentostage
