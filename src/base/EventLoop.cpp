#include "src/base/EventLoop.h"

#include <future>
#include <memory>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <pthread.h>

namespace pimentostage {

namespace {

/// Runs a task periodically; re-arms its timer after each run.
class PeriodicTimer : public std::enable_shared_from_this<PeriodicTimer>
{
public:
    PeriodicTimer(boost::asio::io_context &context, Duration period, std::function<void()> task)
        : timer_(context)
        , period_(period)
        , task_(std::move(task))
    { }

    void arm()
    {
        timer_.expires_after(period_);
        timer_.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (error)
                return;
            self->task_();
            self->arm();
        });
    }

private:
    boost::asio::steady_timer timer_;
    const Duration period_;
    const std::function<void()> task_;
};

} // namespace

EventLoop::EventLoop(const std::string &threadName)
    : work_(boost::asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
{
    // Linux limits thread names to 15 characters and rejects longer ones.
    const std::size_t maxNameLength = 15;
    pthread_setname_np(thread_.native_handle(), threadName.substr(0, maxNameLength).c_str());
}

EventLoop::~EventLoop()
{
    stop();
}

void EventLoop::post(std::function<void()> task)
{
    boost::asio::post(context_, std::move(task));
}

void EventLoop::every(Duration period, std::function<void()> task)
{
    std::make_shared<PeriodicTimer>(context_, period, std::move(task))->arm();
}

void EventLoop::after(Duration delay, std::function<void()> task)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(context_, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code &error) {
        if (!error)
            task();
    });
}

void EventLoop::run(const std::function<void()> &task)
{
    if (std::this_thread::get_id() == thread_.get_id()) {
        task();
        return;
    }
    std::promise<void> done;
    post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

void EventLoop::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace pimentostage
