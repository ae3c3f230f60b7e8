// SPDX-License-Identifier: BSD-2-Clause
// A first-in, first-out fiber scheduler that runs the io_context's handlers between fibers.
#include "libraries/net/fiber_scheduler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/type.hpp>

namespace shedhill::net {

namespace {

struct installed_io {
    installed_io()
        : io(std::make_shared<boost::asio::io_context>(1))
        , guard(boost::asio::make_work_guard(*io))
    {
        boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io);
    }

    std::shared_ptr<boost::asio::io_context> io;
    // Keeps run_one() blocking when the io_context has no pending operations.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard;
};

} // namespace

fiber_scheduler::fiber_scheduler(std::shared_ptr<boost::asio::io_context> io)
    : m_io(std::move(io))
    , m_wake_timer(*m_io)
{
}

void fiber_scheduler::awakened(boost::fibers::context* ready) noexcept
{
    if (!ready->is_context(boost::fibers::type::dispatcher_context))
        ++m_ready_fibers;
    ready->ready_link(m_ready);
}

boost::fibers::context* fiber_scheduler::pick_next() noexcept
{
    // The dispatcher context runs once in each round of ready fibers. Handlers run at that point, so that busy fibers
    // do not starve input and output. NOTE: A suspending fiber calls this function while it holds the spinlock of the
    // object that it waits for. A handler may need the same spinlock, so that handlers must not run from here in any
    // other context.
    auto const is_dispatcher = boost::fibers::context::active()->is_context(boost::fibers::type::dispatcher_context);
    if (is_dispatcher && m_ready_fibers > 0)
        m_io->poll();
    if (m_ready.empty())
        return nullptr;
    auto* next = &m_ready.front();
    m_ready.pop_front();
    if (!next->is_context(boost::fibers::type::dispatcher_context))
        --m_ready_fibers;
    return next;
}

bool fiber_scheduler::has_ready_fibers() const noexcept { return m_ready_fibers > 0; }

void fiber_scheduler::suspend_until(std::chrono::steady_clock::time_point const& wake_at) noexcept
{
    // Setting the timer cancels its pending wait, whose handler ends run_one() below. If the timer were set on every
    // call, the thread would never block.
    if (wake_at != m_armed_for && wake_at != (std::chrono::steady_clock::time_point::max)()) {
        m_armed_for = wake_at;
        m_wake_timer.expires_at(wake_at);
        m_wake_timer.async_wait([](boost::system::error_code const&) {});
    }
    m_io->run_one();
    m_io->poll();
}

void fiber_scheduler::notify() noexcept
{
    boost::asio::post(*m_io, [] {});
}

boost::asio::io_context& process_io_context()
{
    static installed_io installed;
    return *installed.io;
}

} // namespace shedhill::net
