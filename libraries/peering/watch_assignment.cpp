// SPDX-License-Identifier: BSD-2-Clause
// Assigns the watch to the live routers of the lowest ranks.
#include "libraries/peering/watch_assignment.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::peering {

namespace {

// Two watchers, since one may lose its connection to the store or stop without notice.
constexpr std::size_t watchers_per_domain { 2 };
// A router without a report for this time counts as gone. Routers of a failure domain send reports every 100 ms.
constexpr milliseconds report_timeout { 500 };

} // namespace

watch_assignment::watch_assignment(vm_name const& self)
    : m_own_rank(stable_hash(self.value()))
{
}

bool watch_assignment::is_live(router_state const& state, instant now)
{
    return now - state.last_received_at < report_timeout;
}

void watch_assignment::record_report(vm_name const& router, instant confirmed_at, instant now)
{
    m_routers[router] = { stable_hash(router.value()), confirmed_at, now };
    std::erase_if(m_routers, [now](auto const& entry) { return !is_live(entry.second, now); });
}

template <typename Condition>
std::size_t watch_assignment::count_preceding(instant now, Condition&& condition) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_routers, [&](auto const& entry) {
        auto const& state = entry.second;
        return state.rank < m_own_rank && is_live(state, now) && condition(state);
    }));
}

bool watch_assignment::is_assigned(milliseconds max_age, instant now) const
{
    auto const is_fresh = [&](router_state const& state) { return now - state.confirmed_at <= max_age; };
    return count_preceding(now, is_fresh) < watchers_per_domain;
}

bool watch_assignment::is_outage_prober(instant now) const
{
    return count_preceding(now, [](router_state const&) { return true; }) < watchers_per_domain;
}

bool watch_assignment::is_first(instant now) const
{
    return count_preceding(now, [](router_state const&) { return true; }) == 0;
}

bool watch_assignment::is_shared(instant now) const
{
    auto const live_routers
        = std::ranges::count_if(m_routers, [now](auto const& entry) { return is_live(entry.second, now); });
    return static_cast<std::size_t>(live_routers) >= watchers_per_domain;
}

} // namespace shedhill::peering
