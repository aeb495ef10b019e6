#pragma once

#include "pimentostage/backend/RangeLink.h"

namespace pimentostage {

/// Fake RangeLink for a fleet without ordered keys: no back end listens, so that every order fails.
class UnreachableRangeLink : public RangeLink
{
public:
    void grant(const Address &, const RangeGrantOrder &, ConnectionId, OnReply done) override
    {
        done(RangeReply { RangeOutcome::ProcessGone });
    }
    void release(const Address &, const RangeReleaseOrder &, OnReply done) override
    {
        done(RangeReply { RangeOutcome::ProcessGone });
    }
};

} // namespace pimentostage
