#pragma once

#include "src/backend/BackendClient.h"
#include "tests/fakes/RawServer.h"
#include "tests/fakes/RecordingLog.h"

#include <cstdint>
#include <memory>
#include <string>

namespace pimentostage {

/// @return the header line by which an answer names the request with @p head.
std::string requestIdLine(const std::string &head);

/// @return the port of @p server.
std::uint16_t portOf(const RawServer &server);

/// @return a body that is larger than the socket buffers of both ends, so that a request with it is
///         still being written when its answer arrives.
SharedBody longBody();

/// Sends a health probe to a back end.
/// @return whether @p server counts as alive.
bool answersProbe(const RawServer &server);

/// A client of a service with two back ends, of which one is in trouble.
class TroubledService
{
public:
    static constexpr const char *kGoodBody = "good"; ///< of the answers of the other back end

    /// @param troubled makes the replies of the back end in trouble.
    explicit TroubledService(RawServer::ReplyFunction troubled);
    ~TroubledService();
    TroubledService(const TroubledService &) = delete;
    TroubledService &operator=(const TroubledService &) = delete;

    /// Sends a request and waits for its result.
    /// @param body of the request, which is a POST if it has one.
    ForwardResult forward(const std::string &id, bool isIdempotent, SharedBody body);

    RawServer troubled_;
    RawServer good_;
    RecordingLog log_;

private:
    class NullTrafficListener : public TrafficListener
    {
    public:
        void onBackendCold(const BackendName &) override { }
        void onBackendWarm(const BackendName &) override { }
        void onKeyLoad(const KeyLoad &) override { }
    };

    RoutingTableBuilder builder_;
    SnapshotPublisher<RoutingTable> routing_ { std::make_shared<const RoutingTable>() };
    NullTrafficListener listener_;
    MetricRegistry metrics_;
    std::unique_ptr<BackendClient> client_;
};

/// Expects that no reply of a back end in trouble reaches a caller as an answer, that no request
/// counts as not run because of it, and that only idempotent ones are repeated, at the other back
/// end.
/// @param troubled makes the replies.
/// @param body of the requests.
void expectNoReplyReachesACaller(const RawServer::ReplyFunction &troubled,
                                 const SharedBody &body = nullptr);

} // namespace pimentostage
