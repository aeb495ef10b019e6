#pragma once

#include "pimentostage/base/Error.h"
#include "pimentostage/base/Log.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/MetricRegistry.h"
#include "pimentostage/sibling/Messages.h"

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// What the connections between hosts may use.
struct SiblingResources
{
    /// If set, its account SiblingFrames limits all frames: half is for those that are being
    /// received, half for those that wait to be sent. If not, the fixed limits of SiblingLinks
    /// apply.
    std::shared_ptr<MemoryBudget> memory_;
    std::size_t maxIncoming_ = 0; ///< connections that other hosts open; 0 for no limit
};

/// TCP connections to and from the other entry hosts.
///
/// Used only on the control thread. Each host sends on the connections that it opens itself and
/// receives on those that other hosts open; the first frame on a connection identifies the sender.
class SiblingLinks : public SiblingSender
{
public:
    /// Called for each received message; @p from is taken from the sender's Hello.
    using ReceiveHandler = std::function<void(const MemberUpdate &from, const SiblingMessage &)>;
    /// @return the address of a host, or nullopt if it is not known.
    using AddressResolver = std::function<std::optional<Address>(const HostName &)>;

    SiblingLinks(boost::asio::io_context &context, const MemberUpdate &self,
                 AddressResolver resolve, ReceiveHandler receive, LogSink &log,
                 MetricRegistry &metrics, SiblingResources resources = {});
    ~SiblingLinks() override;

    /// Starts to accept connections.
    /// @return success, or an Error of step Listen.
    leaf::result<void> listen(const Address &address);

    void send(const HostName &host, const SiblingMessage &message) override;

    /// Records that @p host answered a probe. A connection whose probes stay unanswered for
    /// kSilenceTimeout is closed and reopened with the next probe.
    void onAnswer(const HostName &host);

    void close();

    static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(500);
    /// Maximum duration of a connection attempt; the next message then starts another.
    static constexpr Duration kConnectTimeout = std::chrono::milliseconds(200);
    /// Maximum sum of the frames that are being received on all connections, except small ones
    /// (ByteBudget); two of the largest, an eighth of the memory of an entry host, 260 MB.
    static constexpr std::size_t kMaxUnfinishedBytes = std::size_t { 32 } << 20U;
    static constexpr std::size_t kMaxQueuedBytes = std::size_t { 32 } << 20U;

private:
    class Acceptor;
    class Incoming;
    class Outgoing;

    std::shared_ptr<Outgoing> outgoingTo(const HostName &host);

    struct SharedState;
    std::shared_ptr<SharedState> shared_;
    std::map<HostName, std::shared_ptr<Outgoing>> outgoing_;
    std::shared_ptr<Acceptor> acceptor_;
};

} // namespace pimentostage
