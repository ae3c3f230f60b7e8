// SPDX-License-Identifier: BSD-2-Clause
// Reuses the connection that was used last.
#include "services/shedhilld/endpoint_connections.h"

namespace shedhill::daemon {

namespace {

// A connection counts as fresh if it has been idle for at most this time.
constexpr milliseconds max_fresh_idle_time { 600 };

} // namespace

std::shared_ptr<relay::call_connection> endpoint_connections::take(
    endpoint_key instance, dispatch::connection_choice choice, instant now)
{
    auto const found = m_idle.find(instance);
    while (found != m_idle.end() && !found->second.empty()) {
        auto& idle = found->second;
        auto const& last = idle.back();
        bool const is_usable = last->is_idle() && now < last->reusable_until();
        if (is_usable && choice == dispatch::connection_choice::fresh && now - last->idle_since() > max_fresh_idle_time)
            break;
        auto connection = std::move(idle.back());
        idle.pop_back();
        if (is_usable)
            return connection;
        connection->abandon();
    }
    return std::make_shared<relay::call_connection>(m_loop);
}

void endpoint_connections::add_idle(endpoint_key instance, std::shared_ptr<relay::call_connection> connection)
{
    m_idle[instance].push_back(std::move(connection));
}

void endpoint_connections::close_expired(instant now)
{
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [now](auto const& connection) {
            bool const is_old = !connection->is_idle() || now >= connection->reusable_until();
            if (is_old)
                connection->abandon();
            return is_old;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

} // namespace shedhill::daemon
