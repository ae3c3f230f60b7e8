// SPDX-License-Identifier: BSD-2-Clause
// Implements the look-ups by index tables that are built once for each revision.
#include "libraries/dispatch/route_table.h"

#include <utility>

namespace shedhill::dispatch {

adoption route_table::adopt(configuration received)
{
    route_index replaced_index;
    return adopt(received, replaced_index);
}

adoption route_table::adopt(configuration& received, route_index& replaced_index)
{
    if (received.revision <= m_configuration.revision)
        return adoption::not_newer;
    std::swap(m_configuration, received);
    m_team_by_key.clear();
    m_pool_by_name.clear();
    replaced_index = std::exchange(m_route_index, route_index(m_configuration.routes));
    for (std::size_t index = 0; index < m_configuration.teams.size(); ++index) {
        for (auto const& key : m_configuration.teams[index].keys)
            m_team_by_key.emplace(key, index);
    }
    for (std::size_t index = 0; index < m_configuration.pools.size(); ++index)
        m_pool_by_name.emplace(m_configuration.pools[index].name, index);
    return adoption::adopted;
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
