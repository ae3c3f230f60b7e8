// SPDX-License-Identifier: BSD-2-Clause
// The least ranks among those who are heard.
#include "libraries/peering/follow_duty.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::peering {

namespace {

// One may be cut off from the store or end without a word; then the other one tells.
constexpr std::size_t followers { 2 };
// Routers of a failure domain tell each other something each 100 ms.
constexpr milliseconds heard_limit { 500 };

} // namespace

follow_duty::follow_duty(vm_name const& self)
    : m_own_rank(stable_hash(self.value()))
{
}

bool follow_duty::is_heard(router_state const& known, instant now) { return now - known.heard_at < heard_limit; }

void follow_duty::note_heard(vm_name const& router, instant confirmed_at, instant now)
{
    m_routers[router] = { stable_hash(router.value()), confirmed_at, now };
    std::erase_if(m_routers, [now](auto const& entry) { return !is_heard(entry.second, now); });
}

template <typename Condition>
std::size_t follow_duty::count_before(instant now, Condition&& condition) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_routers, [&](auto const& entry) {
        auto const& known = entry.second;
        return known.rank < m_own_rank && is_heard(known, now) && condition(known);
    }));
}

bool follow_duty::is_own(milliseconds longest_age, instant now) const
{
    auto const is_fresh = [&](router_state const& known) { return now - known.confirmed_at <= longest_age; };
    return count_before(now, is_fresh) < followers;
}

bool follow_duty::is_among_the_first(instant now) const
{
    return count_before(now, [](router_state const&) { return true; }) < followers;
}

bool follow_duty::is_shared(instant now) const
{
    auto const heard
        = std::ranges::count_if(m_routers, [now](auto const& entry) { return is_heard(entry.second, now); });
    return static_cast<std::size_t>(heard) >= followers;
}

} // namespace shedhill::peering
