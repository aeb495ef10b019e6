#pragma once

#include "pimentostage/backend/RangeLink.h"

namespace pimentostage {

/// Fake RangeLink whose back ends accept each order at once, over one connection at a time.
class FakeRangeLink : public RangeLink
{
public:
    void grant(const Address &, const RangeGrantOrder &, ConnectionId required,
               OnReply done) override
    {
        if (required != 0 && (required != connection_ || isClosed_)) {
            done(RangeReply { RangeOutcome::ConnectionLost });
            return;
        }
        if (isClosed_)
            ++connection_;
        isClosed_ = false;
        done(RangeReply { RangeOutcome::Accepted, connection_ });
    }
    void release(const Address &, const RangeReleaseOrder &, OnReply done) override
    {
        done(RangeReply { RangeOutcome::Accepted, connection_ });
    }

    /// Closes the connection; the next grant that needs none opens another.
    void closeConnection() { isClosed_ = true; }

private:
    ConnectionId connection_ = 0;
    bool isClosed_ = true;
};

} // namespace pimentostage
