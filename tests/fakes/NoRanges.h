#pragma once

#include "pimentostage/backend/RangeLink.h"

namespace pimentostage {

/// A RangeLink of a fleet without ordered keys: nothing listens.
class NoRanges : public RangeLink
{
public:
    void grant(const Address &, const RangeGrantOrder &, OnGranted done) override
    {
        done(RangeOutcome::ProcessGone);
    }
    void release(const Address &, const RangeReleaseOrder &, OnReleased done) override
    {
        done(RangeOutcome::ProcessGone, "");
    }
};

} // namespace pimentostage
