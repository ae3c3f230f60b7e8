// SPDX-License-Identifier: BSD-2-Clause
// The cache of selector decisions, emptied at each new revision.
#include "libraries/router/reach_cache.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::router {

std::optional<std::uint8_t> reach_cache::tier(team_name const& team, endpoint_name const& endpoint)
{
    forget_if_changed();
    auto const key = stable_hash(team.value(), stable_hash(endpoint.value()));
    if (auto const found = m_tiers.find(key); found != m_tiers.end())
        return found->second;
    return m_tiers[key] = decide(team, endpoint);
}

bool reach_cache::can_reach(team_name const& team, pool_name const& pool)
{
    forget_if_changed();
    auto const key = account_of(team, pool).value();
    if (auto const found = m_reachable.find(key); found != m_reachable.end())
        return found->second;
    auto const& endpoints = m_endpoints_by_pool[pool];
    return m_reachable[key]
        = std::ranges::any_of(endpoints, [&](auto const& endpoint) { return tier(team, endpoint).has_value(); });
}

void reach_cache::forget_if_changed()
{
    if (m_revision == m_catalog.current_revision())
        return;
    m_revision = m_catalog.current_revision();
    m_tiers.clear();
    m_reachable.clear();
    m_endpoints_by_pool.clear();
    for (auto const& [key, declared] : m_catalog.objects()) {
        if (auto const* endpoint = std::get_if<config::endpoint>(&declared))
            m_endpoints_by_pool[endpoint->pool].push_back(endpoint->name);
    }
}

std::optional<std::uint8_t> reach_cache::decide(team_name const& team, endpoint_name const& endpoint) const
{
    auto const* from = m_catalog.find_team(team);
    auto const* to = m_catalog.find_endpoint(endpoint);
    if (from == nullptr || to == nullptr)
        return std::nullopt;
    auto const verdict = m_catalog.explain(*from, *to);
    if (!verdict.is_allowed)
        return std::nullopt;
    return verdict.is_own_first && !verdict.is_own ? 1 : 0;
}

} // namespace shedhill::router
