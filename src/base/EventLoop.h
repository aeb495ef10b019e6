#pragma once

#include "pimentostage/base/Time.h"

#include <functional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// A thread that runs posted functions and the timers and sockets of its io_context. An idle thread
/// blocks in epoll.
class EventLoop
{
public:
    /// @param threadName name of the thread, truncated to the maximum length of the system.
    explicit EventLoop(const std::string &threadName);
    ~EventLoop();

    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs @p task on the loop's thread. Thread-safe.
    void post(std::function<void()> task);

    /// Runs @p task on the loop's thread every @p period until the loop stops.
    void every(Duration period, std::function<void()> task);

    /// Runs @p task on the loop's thread after @p delay.
    void after(Duration delay, std::function<void()> task);

    /// Runs @p task on the loop's thread and blocks until it has returned.
    void run(const std::function<void()> &task);

    /// Stops the thread; posted functions that have not run yet are dropped.
    void stop();

    /// @return the io_context that the thread runs.
    [[nodiscard]] boost::asio::io_context &context() { return context_; }

private:
    boost::asio::io_context context_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace pimentostage
