#pragma once

#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/HttpHeader.h"
#include "pimentostage/base/Ids.h"
#include "pimentostage/base/MemoryBudget.h"
#include "pimentostage/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

class EventLoop;

/// Header that carries the id of a request, in the request and in its answer.
inline constexpr const char *kRequestIdHeader = "Pimento-Request-Id";

/// Limit of the memory of all unfinished answers, in bytes: a quarter of the 260 MB that an entry
/// host has for everything.
inline constexpr std::size_t kMaxUnfinishedBytes = std::size_t { 64 } << 20U;

/// A body of which a request and all its attempts share one copy; nullptr if it is empty.
using SharedBody = std::shared_ptr<const std::string>;

/// @return @p text as a body that is not copied.
[[nodiscard]] inline SharedBody sharedBody(std::string text)
{
    return text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text));
}

/// A request to send.
struct HttpRequest
{
    std::string method_ = "GET";
    std::string url_;
    std::vector<HttpHeader> headers_;
    SharedBody body_;
    Duration timeout_ = std::chrono::seconds(1);
    std::string expectedId_; ///< if set, the answer must contain it in idHeader_
    const char *idHeader_ = kRequestIdHeader; ///< header of the answer that contains the id
    bool isIdOptional_ = false; ///< whether an answer without any id is accepted too
    /// Connections on which the request is not sent: those of earlier requests with the same id,
    /// whose answers could be repeated there.
    std::vector<ConnectionId> avoidedConnections_;
    /// If not 0, the only connection on which the request may be sent: to the process that received
    /// the requests before it, or to none. The request waits while the connection is in use, and
    /// fails with ErrorCode::ConnectionClosed if it is closed.
    ConnectionId requiredConnection_ = 0;
    /// If set, called immediately before the first byte is sent; if it returns false, the request
    /// is not sent and fails with ErrorCode::Stale.
    std::function<bool()> maySend_;
};

/// A complete answer.
struct HttpAnswer
{
    int status_ = 0;
    std::vector<HttpHeader> headers_;
    std::string body_;

    /// @return the value of the first header whose name equals @p name, ignoring case, or "".
    [[nodiscard]] const std::string &header(std::string_view name) const;
};

/// Result of a transfer.
struct HttpResult
{
    AttemptState state_ = AttemptState::NotSent; ///< Answered if and only if answer_ is set
    std::optional<HttpAnswer> answer_;
    std::optional<Error> error_;
    Duration elapsed_ {};
    bool isReused_ = false; ///< sent on a connection that had already served requests
    ConnectionId connection_ = 0; ///< on which the request was sent, or was to be sent
};

/// Settings of an HttpClient.
struct HttpClientOptions
{
    std::string threadName_;
    long connectionsPerPeer_ = 32;
    Duration connectTimeout_ = std::chrono::milliseconds(500);
    Duration maxIdleAge_ = std::chrono::seconds(15); ///< connections idle for longer are not reused
    std::size_t maxAnswerBytes_ = std::size_t { 4 } << 20U; ///< of one body
    /// Limit of the memory of all unfinished answers, over all peers; raised if it is too low for
    /// an answer of maxAnswerBytes_. The largest answers above it fail with ErrorCode::TooLarge.
    std::size_t maxUnfinishedBytes_ = kMaxUnfinishedBytes;
    /// If set, where the memory of unfinished answers is counted, in account_; maxUnfinishedBytes_
    /// is then not raised.
    std::shared_ptr<MemoryBudget> memory_;
    MemoryAccount account_ = MemoryAccount::BackendAnswers;
    PeerKind peerKind_ = PeerKind::Backend;

    /// Counts unfinished answers in @p account of @p memory and limits them to it; without
    /// @p memory, the limits stay as they are.
    void countMemory(std::shared_ptr<MemoryBudget> memory, MemoryAccount account)
    {
        if (!memory)
            return;
        maxUnfinishedBytes_ = memory->limit(account);
        memory_ = std::move(memory);
        account_ = account;
    }
};

/// Asynchronous HTTP/1.1 client with persistent connections; also runs timers and posted functions.
/// All its work runs on one thread.
///
/// Idle connections are read too. A connection that its peer closes, or that delivers bytes which
/// do not belong to a request, is closed and not reused, even if the bytes are unread when a
/// request needs a connection.
class HttpClient
{
public:
    using TransferId = std::uint64_t;
    using Done = std::function<void(HttpResult)>;
    using Task = std::function<void()>;

    /// Runs on a dedicated thread.
    explicit HttpClient(const HttpClientOptions &options);
    /// Uses the thread of @p loop, which must outlive this object.
    HttpClient(const HttpClientOptions &options, EventLoop &loop);
    ~HttpClient();

    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Runs @p task on the client's thread. Thread-safe.
    void post(Task task);

    /// Starts a transfer. Must be called on the client's thread.
    /// @param done called once on the client's thread, unless the transfer is cancelled.
    /// @return the id of the transfer, for cancel().
    TransferId start(HttpRequest request, Done done);

    /// Cancels a transfer and closes its connection; its callback is not called. Must be called on
    /// the client's thread.
    void cancel(TransferId transfer);

    /// @return the memory of all unfinished answers, in bytes. Must be called on the client's
    /// thread.
    [[nodiscard]] std::size_t unfinishedBytes() const;

    /// Runs @p task on the client's thread at @p at. Must be called on the client's thread.
    void runAt(TimePoint at, Task task);

    /// Starts a transfer and blocks until it has ended. Must not be called on the client's thread.
    /// @return the result of the transfer.
    HttpResult fetch(HttpRequest request);

private:
    class Impl;
    std::unique_ptr<EventLoop> ownedLoop_; ///< nullptr if the caller provides the loop
    std::shared_ptr<Impl> impl_;
};

} // namespace pimentostage
