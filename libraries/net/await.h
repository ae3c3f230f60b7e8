// SPDX-License-Identifier: BSD-2-Clause
// Lets a fiber wait for asynchronous operations and for other fibers. All fibers run on one thread.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <mutex>

namespace shedhill::net {

// A manual-reset event: set() resumes all waiting fibers, and wait() returns immediately until the event is reset.
class fiber_event {
public:
    void set()
    {
        std::unique_lock lock(m_mutex);
        m_is_set = true;
        m_changed.notify_all();
    }

    void reset() { m_is_set = false; }
    [[nodiscard]] bool is_set() const { return m_is_set; }

    void wait()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_is_set; });
    }

    // Returns whether the event was set within the time limit.
    bool wait_for(std::chrono::milliseconds limit)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, limit, [this] { return m_is_set; });
    }

private:
    boost::fibers::mutex m_mutex;
    boost::fibers::condition_variable m_changed;
    bool m_is_set { false };
};

// The result of an asynchronous operation: its error code and the number of bytes transferred.
struct io_outcome {
    boost::system::error_code failure;
    std::size_t size { 0 };
};

// Starts an asynchronous operation with a completion handler and suspends the fiber until the handler is called.
template <typename Start>
io_outcome await_io(Start&& start)
{
    struct state {
        fiber_event done;
        io_outcome outcome;
    };
    auto shared = std::make_shared<state>();
    start([shared](boost::system::error_code failure, std::size_t size = 0) {
        shared->outcome = { failure, size };
        shared->done.set();
    });
    shared->done.wait();
    return shared->outcome;
}

} // namespace shedhill::net
