// SPDX-License-Identifier: BSD-2-Clause
// Implements the look-ups by index tables that are built once for each revision.
#include "libraries/dispatch/route_table.h"

#include <algorithm>

namespace shedhill::dispatch {

adoption route_table::adopt(configuration received)
{
    if (received.revision <= m_configuration.revision)
        return adoption::not_newer;
    m_configuration = std::move(received);
    m_routes_by_host.clear();
    m_team_by_key.clear();
    m_pool_by_name.clear();
    auto const& routes = m_configuration.routes;
    for (std::size_t index = 0; index < routes.size(); ++index)
        m_routes_by_host[routes[index].host].push_back(index);
    for (auto& [host, indices] : m_routes_by_host)
        std::ranges::stable_sort(
            indices, std::greater {}, [&](std::size_t index) { return routes[index].path_prefix.size(); });
    for (std::size_t index = 0; index < m_configuration.teams.size(); ++index) {
        for (auto const& key : m_configuration.teams[index].keys)
            m_team_by_key.emplace(key, index);
    }
    for (std::size_t index = 0; index < m_configuration.pools.size(); ++index)
        m_pool_by_name.emplace(m_configuration.pools[index].name, index);
    return adoption::adopted;
}

route const* route_table::find_route(std::string_view host, std::string_view path) const
{
    auto const found = m_routes_by_host.find(std::string(host));
    if (found == m_routes_by_host.end())
        return nullptr;
    for (auto const index : found->second) {
        if (path.starts_with(m_configuration.routes[index].path_prefix))
            return &m_configuration.routes[index];
    }
    return nullptr;
}

team_settings const* route_table::find_team(std::string const& key) const
{
    auto const found = m_team_by_key.find(key);
    return found == m_team_by_key.end() ? nullptr : &m_configuration.teams[found->second];
}

pool_settings const* route_table::find_pool(pool_name const& name) const
{
    auto const found = m_pool_by_name.find(name);
    return found == m_pool_by_name.end() ? nullptr : &m_configuration.pools[found->second];
}

pool_name const* route_table::choose_pool(route const& from, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (auto const& candidate : from.pools)
        total += candidate.weight;
    if (total == 0)
        return nullptr;
    auto remaining = draw % total;
    for (auto const& candidate : from.pools) {
        if (remaining < candidate.weight)
            return &candidate.pool;
        remaining -= candidate.weight;
    }
    return nullptr;
}

} // namespace shedhill::dispatch
