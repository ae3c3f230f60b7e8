// SPDX-License-Identifier: BSD-2-Clause
// Visits all connections. The loops that close connections run over a copy, because a connection that closes may leave
// the table.
#include "services/shedhilld/caller_table.h"

#include <algorithm>
#include <utility>

namespace shedhill::daemon {

void caller_table::set_limits(dispatch::caller_limits const& limits)
{
    relay::read_limits const changed { limits.max_header_bytes, limits.max_body_bytes };
    if (std::exchange(m_limits, changed) == changed)
        return;
    for (auto const& [number, caller] : m_callers)
        caller->set_limits(changed);
}

void caller_table::accept(int descriptor, milliseconds max_unaccepted_time, relay::caller_listener& listener)
{
    auto const number = ++m_last_number;
    auto const connection = std::make_shared<relay::caller_connection>(m_loop, number, listener, m_limits);
    m_callers.emplace(number, connection);
    // The system's limit is a little longer than the one that is checked here, which is logged.
    constexpr milliseconds margin { 1000 };
    connection->open(descriptor, max_unaccepted_time, m_max_unread_answer_time + margin);
}

void caller_table::remove_later(std::uint64_t number)
{
    m_loop.at_end_of_round([this, number] { m_callers.erase(number); });
}

void caller_table::close_timed_out(dispatch::caller_limits const& limits, instant now)
{
    std::vector<std::shared_ptr<relay::caller_connection>> idle;
    for (auto const& [number, caller] : m_callers) {
        auto const idle_time = now - caller->last_activity();
        auto const limit = caller->has_partial_request() ? limits.header_timeout : limits.idle_timeout;
        if ((!caller->is_answering() && idle_time > limit) || caller->has_discarded_enough())
            idle.push_back(caller);
    }
    for (auto const& caller : idle)
        caller->close_idle();
}

std::vector<caller_table::disconnected_caller> caller_table::disconnect_unreachable()
{
    std::vector<std::shared_ptr<relay::caller_connection>> unreachable;
    std::vector<disconnected_caller> disconnected;
    for (auto const& [number, caller] : m_callers) {
        bool const is_silent = caller->is_caller_silent();
        auto const unread_for = caller->unread_answer_time();
        if (!is_silent && unread_for <= m_max_unread_answer_time)
            continue;
        unreachable.push_back(caller);
        disconnected.push_back({ caller->unwritten_size(), unread_for, is_silent });
    }
    for (auto const& caller : unreachable)
        caller->abort_connection();
    return disconnected;
}

void caller_table::close_idle()
{
    auto const callers = m_callers;
    for (auto const& [number, caller] : callers) {
        // An answer of this round is not written yet, so the connection closes only once it is.
        if (!caller->has_partial_request())
            caller->close_after_flush();
    }
}

bool caller_table::has_unfinished_exchange() const
{
    return std::ranges::any_of(m_callers,
        [](auto const& entry) { return entry.second->has_partial_request() || entry.second->has_unwritten(); });
}

template <typename Size>
std::vector<relay::buffer_holder> caller_table::callers_to_release(std::size_t limit, Size&& size) const
{
    std::vector<relay::buffer_holder> holders;
    for (auto const& [number, caller] : m_callers)
        holders.push_back({ number, size(*caller) });
    return relay::holders_to_release(std::move(holders), m_loop.buffered().bytes(), limit);
}

std::vector<relay::buffer_holder> caller_table::refuse_incomplete_bodies()
{
    auto released = callers_to_release(m_loop.buffered().request_limit(),
        [](relay::caller_connection const& caller) { return caller.incomplete_body_size(); });
    for (auto const& holder : released)
        m_callers.at(holder.number)->refuse_incomplete_body();
    return released;
}

std::vector<relay::buffer_holder> caller_table::disconnect_slow_readers()
{
    auto released = callers_to_release(
        m_loop.buffered().limit(), [](relay::caller_connection const& caller) { return caller.unwritten_size(); });
    for (auto const& holder : released)
        m_callers.at(holder.number)->abort_connection();
    return released;
}

} // namespace shedhill::daemon
