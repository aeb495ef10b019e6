#pragma once

#include "src/base/BeastSession.h"

#include <atomic>
#include <memory>

#include <boost/asio/dispatch.hpp>

namespace pimentostage {

/// Sends the answer to one request of a Session on the session's thread.
class BeastServer::Responder : public HttpResponder
{
public:
    Responder(const std::shared_ptr<Session> &session, boost::asio::io_context &context,
              std::uint64_t number, ByteBudget::Reservation bodyBytes,
              ByteBudget::Reservation headBytes)
        : session_(session)
        , context_(context)
        , number_(number)
        , bodyBytes_(std::move(bodyBytes))
        , headBytes_(std::move(headBytes))
    { }

    ~Responder() override
    {
        if (!sent_.load())
            send(ServerAnswer { kUnansweredStatus, "", {}, "" });
    }

    Responder(const Responder &) = delete;
    Responder &operator=(const Responder &) = delete;

    void send(ServerAnswer answer) override
    {
        if (sent_.exchange(true))
            return;
        bodyBytes_.release();
        headBytes_.release();
        const std::shared_ptr<Session> session = session_.lock();
        if (!session)
            return;
        boost::asio::dispatch(context_,
                              [session, number = number_, answer = std::move(answer)]() mutable {
                                  session->onAnswer(number, std::move(answer));
                              });
    }

    void onAbandoned(std::function<void()> task) override
    {
        if (const std::shared_ptr<Session> session = session_.lock())
            session->setOnAbandoned(number_, std::move(task));
    }

private:
    /// Of the answer to a request whose handler has given none.
    static constexpr int kUnansweredStatus = 500;

    const std::weak_ptr<Session> session_;
    boost::asio::io_context &context_;
    const std::uint64_t number_;
    std::atomic<bool> sent_ { false };
    // Also an abandoned request keeps its body until it has ended.
    ByteBudget::Reservation bodyBytes_;
    ByteBudget::Reservation headBytes_;
};

} // namespace pimentostage
