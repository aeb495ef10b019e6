#pragma once

#include "pimentostage/backend/RangeLink.h"

#include <functional>
#include <utility>
#include <vector>

namespace pimentostage {

/// Fake RangeLink whose back ends accept each order at once, over one connection at a time; records
/// the orders.
class FakeRangeLink : public RangeLink
{
public:
    void grant(const Address &backend, const RangeGrantOrder &order, ConnectionId required,
               OnReply done) override
    {
        if (holdsGrants_) {
            heldGrants_.emplace_back([this, backend, order, required, done] {
                holdsGrants_ = false;
                grant(backend, order, required, done);
            });
            return;
        }
        if (required != 0 && (required != connection_ || isClosed_)) {
            done(RangeReply { RangeOutcome::ConnectionLost });
            return;
        }
        if (isClosed_)
            ++connection_;
        isClosed_ = false;
        grants_.emplace_back(backend, order);
        done(RangeReply { RangeOutcome::Accepted, connection_ });
    }
    void release(const Address &backend, const RangeReleaseOrder &order, OnReply done) override
    {
        releases_.emplace_back(backend, order);
        done(RangeReply { RangeOutcome::Accepted, connection_ });
    }

    /// Closes the connection; the next grant that needs none opens another.
    void closeConnection() { isClosed_ = true; }

    bool holdsGrants_ = false; ///< grants wait in heldGrants_
    std::vector<std::function<void()>> heldGrants_; ///< each delivers one, and ends holdsGrants_
    std::vector<std::pair<Address, RangeGrantOrder>> grants_;
    std::vector<std::pair<Address, RangeReleaseOrder>> releases_;

private:
    ConnectionId connection_ = 0;
    bool isClosed_ = true;
};

} // namespace pimentostage
