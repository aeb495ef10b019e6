#pragma once

#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/HttpHeader.h"
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

/// Header that carries the id of a request and of its answer.
inline constexpr const char *kRequestIdHeader = "Pimento-Request-Id";

/// A request to send.
struct HttpRequest
{
    std::string method_ = "GET";
    std::string url_;
    std::vector<HttpHeader> headers_;
    std::string body_;
    Duration timeout_ = std::chrono::seconds(1);
    std::string expectedId_; ///< if set, an answer must repeat it in idHeader_
    const char *idHeader_ = kRequestIdHeader; ///< header of an answer that repeats the id
    /// If set, asked right before the first byte is sent; if false, the request ends as Stale.
    std::function<bool()> maySend_;
};

/// A whole answer.
struct HttpAnswer
{
    int status_ = 0;
    std::vector<HttpHeader> headers_;
    std::string body_;

    /// @return the value of the first header called @p name in any case, or "".
    [[nodiscard]] const std::string &header(std::string_view name) const;
};

/// How a transfer ended.
struct HttpResult
{
    AttemptState state_ = AttemptState::NotSent; ///< Answered exactly if answer_ is set
    std::optional<HttpAnswer> answer_;
    std::optional<Error> error_;
    Duration elapsed_ {};
    bool isReused_ = false; ///< sent on a connection that had served requests before
};

/// Settings of an HttpLoop.
struct HttpLoopOptions
{
    std::string threadName_;
    long connectionsPerPeer_ = 32;
    Duration connectTimeout_ = std::chrono::milliseconds(500);
    Duration maxIdleAge_ = std::chrono::seconds(15); ///< older idle connections are not reused
    std::size_t mostAnswerBytes_ = std::size_t { 4 } << 20U;
    PeerKind peerKind_ = PeerKind::Backend;
};

/// HTTP/1.1 transfers over kept connections, on one thread, with timers and posted functions.
///
/// A connection is read also while it is idle: one that its peer closes, or that brings bytes which
/// no request asked for, is closed and never used again.
class HttpLoop
{
public:
    using TransferId = std::uint64_t;
    using Done = std::function<void(HttpResult)>;
    using Task = std::function<void()>;

    /// Runs on a thread of its own.
    explicit HttpLoop(const HttpLoopOptions &options);
    /// Runs on the thread of @p loop, which outlives it.
    HttpLoop(const HttpLoopOptions &options, EventLoop &loop);
    ~HttpLoop();

    HttpLoop(const HttpLoop &) = delete;
    HttpLoop &operator=(const HttpLoop &) = delete;

    /// Runs @p task on the loop's thread. Any thread may call this.
    void post(Task task);

    /// Starts a transfer. Only on the loop's thread.
    /// @param done called on the loop's thread, once, unless the transfer is cancelled.
    TransferId start(HttpRequest request, Done done);

    /// Ends a transfer and closes its connection; its function is not called. Only on the
    /// loop's thread.
    void cancel(TransferId transfer);

    /// Runs @p task on the loop's thread at @p at. Only on the loop's thread.
    void runAt(TimePoint at, Task task);

    /// Starts a transfer and waits for its end. Not on the loop's thread.
    HttpResult fetch(HttpRequest request);

private:
    class Impl;
    std::unique_ptr<EventLoop> ownLoop_; ///< nullptr if the thread is another's
    std::shared_ptr<Impl> impl_;
};

} // namespace pimentostage
