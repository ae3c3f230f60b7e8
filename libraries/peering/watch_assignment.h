// SPDX-License-Identifier: BSD-2-Clause
// Decides whether this router watches the store itself. Each call to the store has a cost and the call rate is limited,
// so a few routers of each failure domain watch it and report changes to the others. All routers derive the same
// assignment from a hash of the routers' names. A router that receives recent confirmations from too few watchers also
// watches.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstddef>
#include <unordered_map>

namespace shedhill::peering {

class watch_assignment {
public:
    explicit watch_assignment(vm_name const& self);

    // Records a report from another router of the failure domain, to which the store last confirmed the endpoint list
    // at `confirmed_at`.
    void record_report(vm_name const& router, instant confirmed_at, instant now);
    // Returns whether this router has to watch the store. Other routers whose last confirmation is older than `max_age`
    // do not count as watchers.
    [[nodiscard]] bool is_assigned(milliseconds max_age, instant now) const;
    // Returns whether this router would be a watcher regardless of the age of the others' confirmations. While the
    // store answers none of them, only these routers probe whether it is back.
    [[nodiscard]] bool is_outage_prober(instant now) const;
    // Returns whether this router has the lowest rank of the live routers of its failure domain.
    [[nodiscard]] bool is_first(instant now) const;
    // Returns whether the failure domain has more live routers than watchers.
    [[nodiscard]] bool is_shared(instant now) const;

private:
    struct router_state {
        // The hash of the router's name. The live routers of the lowest ranks are the watchers.
        std::uint64_t rank { 0 };
        instant confirmed_at {};
        instant last_received_at {};
    };

    // Counts the live routers of a lower rank than this one that satisfy the condition.
    template <typename Condition>
    [[nodiscard]] std::size_t count_preceding(instant now, Condition&& condition) const;
    [[nodiscard]] static bool is_live(router_state const& state, instant now);

    std::uint64_t m_own_rank;
    std::unordered_map<vm_name, router_state> m_routers;
};

} // namespace shedhill::peering
