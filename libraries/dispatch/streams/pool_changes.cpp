// SPDX-License-Identifier: BSD-2-Clause
// Implements the comparison of two lists of routes.
#include "libraries/dispatch/streams/pool_changes.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

bool has_equal_pools(route const& left, route const& right)
{
    return std::ranges::equal(left.pools, right.pools, {}, &weighted_pool::pool, &weighted_pool::pool);
}

bool is_same_routing(route const& left, route const& right)
{
    return left.host == right.host && left.path_prefix == right.path_prefix && left.retry == right.retry
        && has_equal_pools(left, right);
}

bool has_resumable_streams(route const& of) { return of.retry == retry_mode::resumable; }

} // namespace

bool pool_changes::record(indexed_routes before, indexed_routes after, milliseconds lifetime, instant now)
{
    if (std::ranges::equal(before.routes, after.routes, is_same_routing))
        return false;
    auto const lookups_before = before.index.lookups() + after.index.lookups();
    bool has_changed = false;
    for (auto const& current : after.routes) {
        if (!has_resumable_streams(current))
            continue;
        if (auto const* const earlier = before.index.find(current.host, current.path_prefix))
            has_changed |= add(current, *earlier, now + lifetime);
    }
    // The paths of a route that was removed may belong to a route with a shorter prefix now.
    for (auto const& earlier : before.routes) {
        if (!has_resumable_streams(earlier))
            continue;
        auto const* const current = after.index.find(earlier.host, earlier.path_prefix);
        if (current != nullptr && current->path_prefix != earlier.path_prefix)
            has_changed |= add(*current, earlier, now + lifetime);
    }
    m_examined_routes += before.index.lookups() + after.index.lookups() - lookups_before;
    return has_changed;
}

bool pool_changes::add(route const& changed, route const& earlier, instant until)
{
    if (has_equal_pools(changed, earlier))
        return false;
    auto& former = m_former[key_of(changed)];
    for (auto const& candidate : earlier.pools)
        former.push_back({ candidate.pool, until });
    return true;
}

std::vector<pool_name> pool_changes::former_pools_of(route const& of, instant now) const
{
    std::vector<pool_name> pools;
    auto const found = m_former.find(key_of(of));
    if (found == m_former.end())
        return pools;
    for (auto const& former : found->second) {
        if (now <= former.until)
            pools.push_back(former.pool);
    }
    return pools;
}

void pool_changes::forget_old(instant now)
{
    for (auto& [route, pools] : m_former)
        std::erase_if(pools, [&](former_pool const& former) { return now > former.until; });
    std::erase_if(m_former, [](auto const& entry) { return entry.second.empty(); });
}

} // namespace shedhill::dispatch
