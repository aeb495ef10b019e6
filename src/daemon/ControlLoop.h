#pragma once

#include "pimentostage/base/Time.h"

#include <functional>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace pimentostage {

/// The control thread: runs posted functions and timers one after the other.
class ControlLoop
{
public:
    ControlLoop();
    ~ControlLoop();

    ControlLoop(const ControlLoop &) = delete;
    ControlLoop &operator=(const ControlLoop &) = delete;

    /// Runs @p task on the control thread. Any thread may call this.
    void post(std::function<void()> task);

    /// Runs @p task on the control thread every @p period until the loop stops.
    void every(Duration period, std::function<void()> task);

    /// Runs @p task on the control thread after @p delay.
    void after(Duration delay, std::function<void()> task);

    /// Runs @p task on the control thread and waits until it is done. Not on that thread.
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
