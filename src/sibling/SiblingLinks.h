#pragma once

#include "pimentostage/base/Counters.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// TCP connections to and from the other entry hosts.
///
/// Lives on the control thread. Each host sends on connections that it opens itself and receives
/// on those that others open; the first frame on a connection says who sends.
class SiblingLinks : public SiblingSender
{
public:
    /// Called for each message; @p from is what the sender's Hello said.
    using Receive = std::function<void(const MemberUpdate &from, const SiblingMessage &)>;
    /// @return where a host is reached, or nothing if it is not known.
    using Resolve = std::function<std::optional<Address>(const HostName &)>;

    SiblingLinks(boost::asio::io_context &context, const MemberUpdate &self, Resolve resolve,
                 Receive receive, LogSink &log, Counters &counters);
    ~SiblingLinks() override;

    /// Starts to take connections.
    /// @return nothing, or an Error of step Listen.
    leaf::result<void> listen(const Address &address);

    void send(const HostName &host, const SiblingMessage &message) override;

    /// Notes that @p host answered; a connection whose probes stay unanswered for kMostSilence is
    /// closed and opened anew.
    void onAnswer(const HostName &host);

    void close();

    static constexpr Duration kMostSilence = std::chrono::milliseconds(500);
    /// Longest wait for a connection before another is tried.
    static constexpr Duration kMostConnectTime = std::chrono::milliseconds(200);
    static constexpr std::size_t kMostQueuedBytes = std::size_t { 32 } << 20U;

private:
    class Acceptor;
    class Incoming;
    class Outgoing;

    std::shared_ptr<Outgoing> outgoingTo(const HostName &host);

    struct Shared;
    std::shared_ptr<Shared> shared_;
    std::map<HostName, std::shared_ptr<Outgoing>> outgoing_;
    std::shared_ptr<Acceptor> acceptor_;
};

} // namespace pimentostage
