#pragma once

#include "pimentostage/base/Attempt.h"
#include "pimentostage/base/Error.h"
#include "pimentostage/base/Time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentostage {

/// One HTTP header.
struct HttpHeader
{
    std::string name_;
    std::string value_;
};

/// A request to send.
struct HttpRequest
{
    std::string method_ = "GET";
    std::string url_;
    std::vector<HttpHeader> headers_;
    std::string body_;
    Duration timeout_ = std::chrono::seconds(1);
    std::string expectedId_; ///< if set, an answer must repeat it in kRequestIdHeader
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
};

/// Settings of an HttpLoop.
struct HttpLoopOptions
{
    std::string threadName_;
    long connectionsPerPeer_ = 32;
    Duration connectTimeout_ = std::chrono::milliseconds(500);
    Duration mostIdleAge_ = std::chrono::seconds(15); ///< older idle connections are not reused
    std::size_t mostAnswerBytes_ = std::size_t { 4 } << 20U;
    PeerKind peerKind_ = PeerKind::Backend;
};

/// Header that carries the id of a request and of its answer.
inline constexpr const char *kRequestIdHeader = "Pimento-Request-Id";

/// One thread that runs HTTP transfers, timers and posted functions; it waits in poll.
class HttpLoop
{
public:
    using TransferId = std::uint64_t;
    using Done = std::function<void(HttpResult)>;
    using Task = std::function<void()>;

    explicit HttpLoop(const HttpLoopOptions &options);
    ~HttpLoop();

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
    std::unique_ptr<Impl> impl_;
};

} // namespace pimentostage
