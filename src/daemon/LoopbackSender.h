#pragma once

#include "pimentostage/sibling/Messages.h"

#include <functional>

namespace pimentostage {

/// Sends messages to entry hosts, including this one, whose messages are delivered locally.
class LoopbackSender : public SiblingSender
{
public:
    /// Queues a message for this host; must not handle the message before it returns.
    using Deliver = std::function<void(const SiblingMessage &)>;

    /// @param others sends to all other hosts; must outlive this object.
    LoopbackSender(HostName self, SiblingSender &others, Deliver deliver)
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
