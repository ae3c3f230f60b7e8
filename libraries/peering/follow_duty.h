// SPDX-License-Identifier: BSD-2-Clause
// Which routers of a failure domain follow the store themselves. Each call to the store has its price and its rates are
// bounded, so a few follow it, the same at all routers, and the others learn from them what has changed. Whoever hears
// too few of the followers confirm what the store holds follows it too.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstddef>
#include <unordered_map>

namespace shedhill::peering {

class follow_duty {
public:
    explicit follow_duty(vm_name const& self);

    // A router of the failure domain was heard; the store had confirmed its list to it at that time.
    void note_heard(vm_name const& router, instant confirmed_at, instant now);
    // Whether this router follows the store, where a follower's confirmation is never older than the limit.
    [[nodiscard]] bool is_own(milliseconds longest_age, instant now) const;
    // Whether this router would follow the store if all heard it alike: while none of them does, these look whether it
    // is back.
    [[nodiscard]] bool is_among_the_first(instant now) const;
    // Whether there are more routers than followers in the failure domain.
    [[nodiscard]] bool is_shared(instant now) const;

private:
    struct router_state {
        std::uint64_t rank { 0 };
        instant confirmed_at {};
        instant heard_at {};
    };

    // Routers that are heard, stand before this one, and meet the condition.
    template <typename Condition>
    [[nodiscard]] std::size_t count_before(instant now, Condition&& condition) const;
    [[nodiscard]] static bool is_heard(router_state const& known, instant now);

    std::uint64_t m_own_rank;
    std::unordered_map<vm_name, router_state> m_routers;
};

} // namespace shedhill::peering
