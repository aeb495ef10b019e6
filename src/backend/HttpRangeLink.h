#pragma once

#include "pimentostage/backend/RangeLink.h"
#include "src/base/HttpClient.h"

namespace pimentostage {

/// Encoding of orders about key ranges.
struct RangeProtocol
{
    /// Set the path (as url_ without scheme and server), the headers and the body; HttpRangeLink
    /// sets the method.
    HttpRequest (*encodeGrant_)(const RangeGrantOrder &);
    HttpRequest (*encodeRelease_)(const RangeReleaseOrder &);
    const char *handoverHeader_; ///< header of a release's reply that has the handover token
    /// Header of an order, and of its reply, that has the order's id. nullptr for back ends whose
    /// address may by then belong to another service, which would run an order that has an id.
    const char *idHeader_;
    /// Whether a refused connection means that the process has ended. Must be false for back ends
    /// that also refuse connections while they are busy.
    bool refusalMeansProcessEnded_ = false;
    /// Whether each reply to a release bears a handover token. One without it confirms nothing.
    bool provesRelease_ = false;
};

/// @return the protocol of this project's own back ends.
const RangeProtocol &nativeRangeProtocol();

/// RangeLink over HTTP. Used only on the thread of its loop.
class HttpRangeLink : public RangeLink
{
public:
    /// @param protocol must outlive this.
    HttpRangeLink(EventLoop &loop, const RangeProtocol &protocol);

    void grant(const Address &backend, const RangeGrantOrder &order, ConnectionId connection,
               OnReply done) override;
    void release(const Address &backend, const RangeReleaseOrder &order, OnReply done) override;

private:
    /// Completes @p request, an encoded order to @p backend.
    HttpRequest prepare(HttpRequest request, const Address &backend, Duration timeout);

    const RangeProtocol &protocol_;
    std::uint64_t lastId_; ///< of an order
    HttpClient grants_;
    HttpClient releases_; ///< separate, since a release gets no reply until work has ended
};

} // namespace pimentostage
