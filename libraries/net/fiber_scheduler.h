// SPDX-License-Identifier: BSD-2-Clause
// Runs Boost.Fiber and Boost.Asio on one thread. When no fiber is ready, the thread blocks in the io_context until a
// handler has run, so that an idle process uses no processor time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>
#include <memory>

namespace shedhill::net {

// Schedules fibers in the order in which they become ready. See boost::fibers::algo::algorithm for the overrides.
class fiber_scheduler final : public boost::fibers::algo::algorithm {
public:
    explicit fiber_scheduler(std::shared_ptr<boost::asio::io_context> io);

    void awakened(boost::fibers::context* ready) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(std::chrono::steady_clock::time_point const& wake_at) noexcept override;
    void notify() noexcept override;

private:
    std::shared_ptr<boost::asio::io_context> m_io;
    boost::asio::steady_timer m_wake_timer;
    // The expiry time to which m_wake_timer was last set.
    std::chrono::steady_clock::time_point m_armed_for {};
    boost::fibers::scheduler::ready_queue_type m_ready;
    // The number of ready fibers, without the dispatcher context.
    std::size_t m_ready_fibers { 0 };
};

// Returns the io_context of this process. The first call, which must come from the main thread, installs the scheduler.
boost::asio::io_context& process_io_context();

} // namespace shedhill::net
