// SPDX-License-Identifier: BSD-2-Clause
// Evaluates selectors on a cache miss and clears the cache when the revision changes.
#include "libraries/router/reach_cache.h"

#include "base/hash.h"

#include <algorithm>
#include <bit>

namespace shedhill::router {

std::optional<std::uint8_t> reach_cache::tier(subject const& from, target const& to)
{
    clear_if_revision_changed();
    // NOTE: The second key is rotated, because the keys of a team and an endpoint with the same name would cancel out.
    auto const key = from.key ^ std::rotl(to.key, 1);
    if (auto const found = m_tiers.find(key); found != m_tiers.end())
        return found->second;
    return m_tiers[key] = compute_tier(from.team, to.endpoint);
}

bool reach_cache::can_reach(team_name const& team, pool_name const& pool)
{
    clear_if_revision_changed();
    auto const key = account_of(team, pool).value();
    if (auto const found = m_reachable.find(key); found != m_reachable.end())
        return found->second;
    auto const& endpoints = m_catalog.endpoints_of(pool);
    subject const from { team, stable_hash(team.value()) };
    return m_reachable[key] = std::ranges::any_of(endpoints, [&](endpoint_name const& endpoint) {
        return tier(from, { endpoint, stable_hash(endpoint.value()) }).has_value();
    });
}

void reach_cache::clear_if_revision_changed()
{
    if (m_revision == m_catalog.current_revision())
        return;
    m_revision = m_catalog.current_revision();
    m_tiers.clear();
    m_reachable.clear();
}

std::optional<std::uint8_t> reach_cache::compute_tier(team_name const& team, endpoint_name const& endpoint) const
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
