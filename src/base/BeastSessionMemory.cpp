#include "src/base/BeastAnswer.h"
#include "src/base/BeastSession.h"

#include <boost/beast/http/status.hpp>

namespace pimentostage {

namespace {

constexpr int kTimeout = 408;
constexpr int kUnavailable = 503;
// A request whose body grows by less in this time may be given up for others. Every upload of a
// link of 10 Mbit/s makes this progress while at most 300 share it.
constexpr Duration kStallTime = std::chrono::seconds(1);
constexpr std::size_t kProgressBytes = std::size_t { 4 } * 1024;

} // namespace

void BeastServer::Session::recordProgress(std::size_t bytes)
{
    progressBytes_ += bytes;
    if (progressBytes_ < kProgressBytes)
        return;
    progressBytes_ = 0;
    progressAt_ = lastActivityAt_;
}

bool BeastServer::Session::countUnread(PendingRequest &pending)
{
    pending.answerBytes_ = memoryOf(*pending.answer_);
    unreadBytes_ += pending.answerBytes_;
    worker_->unread_.update(id_, unreadBytes_);
    worker_->giveUpUnreadAnswers();
    return !isClosed_;
}

void BeastServer::Session::endUnread(std::size_t bytes)
{
    unreadBytes_ -= bytes;
    if (unreadBytes_ == 0)
        worker_->unread_.remove(id_);
    else
        worker_->unread_.update(id_, unreadBytes_);
}

// The size of a chunked body is not known in advance, so it is reserved as the body grows.
// Growing by copies would occupy up to three times the body's size; address space that is not
// written to takes no memory.
bool BeastServer::Session::reserveBody()
{
    std::string &body = parser_->get().body();
    if (!parser_->content_length() && body.size() > Worker::kMaxReadSize)
        body.reserve(worker_->options_.maxRequestBytes_);
    return reserve(body.size());
}

bool BeastServer::Session::reserve(std::size_t bytes)
{
    while (!worker_->bodyBudget_->reserve(bodyBytes_, bytes)) {
        if (!worker_->giveUpStalledRequest(&Session::unfinishedBodyBytes, bytes)) {
            refuse(kUnavailable);
            return false;
        }
    }
    return true;
}

bool BeastServer::Session::isStalled(TimePoint now) const
{
    return now - progressAt_ >= kStallTime;
}

void BeastServer::Session::giveUpUnfinished()
{
    refuse(kTimeout);
}

// The bytes that are not parsed yet and the parsed fields, which a request keeps until it is
// answered.
bool BeastServer::Session::countHead()
{
    if (isClosed_)
        return false;
    if (buffer_.size() == 0)
        buffer_.shrink_to_fit();
    std::size_t bytes = buffer_.capacity();
    if (parser_ && parser_->is_header_done())
        bytes += headMemory_;
    while (!worker_->headBudget_->reserve(headBytes_, bytes)) {
        if (!worker_->giveUpStalledRequest(&Session::unfinishedHeadBytes, bytes)) {
            refuse(kUnavailable);
            return false;
        }
    }
    if (!parser_ && bytes == 0)
        headBytes_.release();
    return true;
}

std::optional<BeastServer::Session::Disposability> BeastServer::Session::disposability(
    TimePoint now) const
{
    if (isLingering_)
        return Disposability { ConnectionUse::Closing, lastActivityAt_ };
    if (!pendingRequests_.empty() || isWriting_)
        return std::nullopt;
    if (parser_) {
        return isStalled(now) ? std::optional(Disposability { ConnectionUse::Stalled, progressAt_ })
                              : std::nullopt;
    }
    const bool isUsed = firstPendingNumber_ > 0;
    return Disposability { isUsed ? ConnectionUse::Idle : ConnectionUse::Unused, lastActivityAt_ };
}

} // namespace pimentostage
