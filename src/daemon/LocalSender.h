#pragma once

#include "pimentostage/sibling/Messages.h"

#include <functional>

namespace pimentostage {

/// Sends messages to entry hosts, this one included.
class LocalSender : public SiblingSender
{
public:
    /// Takes a message for this host; must not handle it before it returns.
    using Deliver = std::function<void(const SiblingMessage &)>;

    /// @param others sends to all other hosts; outlives this.
    LocalSender(HostName self, SiblingSender &others, Deliver deliver)
        : self_(std::move(self))
        , others_(others)
        , deliver_(std::move(deliver))
    { }

    void send(const HostName &host, const SiblingMessage &message) override
    {
        if (host == self_)
            deliver_(message);
        else
            others_.send(host, message);
    }

private:
    const HostName self_;
    SiblingSender &others_;
    const Deliver deliver_;
};

} // namespace pimentostage
