#pragma once

#include "pimentostage/base/Time.h"

#include <functional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// One thread that runs posted functions, timers and the sockets of its context; it waits in epoll.
class EventLoop
{
public:
    /// @param threadName name of the thread, cut to what the system allows.
    explicit EventLoop(const std::string &threadName);
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs @p task on the loop's thread. Any thread may call this.
    void post(std::function<void()> task);

    /// Runs @p task on the loop's thread every @p period until the loop stops.
    void every(Duration period, std::function<void()> task);

    /// Runs @p task on the loop's thread after @p delay.
    void after(Duration delay, std::function<void()> task);

    /// Runs @p task on the loop's thread and waits until it is done.
    void run(const std::function<void()> &task);

    /// Ends the thread; posted functions that did not run are dropped.
    void stop();

    /// @return the context on whose thread everything runs.
    [[nodiscard]] boost::asio::io_context &context() { return context_; }

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace pimentostage
