// SPDX-License-Identifier: BSD-2-Clause
// Visits all connections. The loops that close connections run over a copy, because a connection that closes may leave
// the table.
#include "services/shedhilld/caller_table.h"

#include "libraries/relay/slow_readers.h"

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
    connection->open(descriptor, max_unaccepted_time);
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
        if (!caller->is_answering() && idle_time > limit)
            idle.push_back(caller);
    }
    for (auto const& caller : idle)
        caller->close_idle();
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

std::vector<caller_table::disconnected_reader> caller_table::disconnect_slow_readers()
{
    auto const& buffered = m_loop.buffered();
    std::vector<relay::slow_reader> readers;
    for (auto const& [number, caller] : m_callers)
        readers.push_back({ number, caller->unwritten_size() });
    std::vector<disconnected_reader> disconnected;
    for (auto const number : relay::readers_to_disconnect(std::move(readers), buffered.bytes(), buffered.limit())) {
        auto const caller = m_callers.at(number);
        disconnected.push_back({ caller->unwritten_size() });
        caller->abort_connection();
    }
    return disconnected;
}

} // namespace shedhill::daemon
