// SPDX-License-Identifier: BSD-2-Clause
// The faults of one soak run, drawn from a seed: series of one kind, which start at any moment and overlap.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace shedhill::soak {

enum class fault_kind {
    // Planned work.
    router_stop,
    router_reload,
    replica_drain,
    configuration_change,
    // Signals.
    router_kill,
    router_pause,
    all_routers_kill,
    replica_kill,
    replica_pause,
    store_pause,
    // How replicas behave.
    replica_busy,
    replica_cuts,
    replica_mute,
    replica_fails,
    // Links, by proxies.
    replica_link,
    store_link,
    // The store itself.
    store_down,
    store_forgets,
    store_loses_answers,
    entries_lapse,
    // Drawn beside the ones above, so that an older seed still draws what it drew.
    evacuation,
    connections_silent,
    // Replicas that turn all away and ask for rest; one that says in its answers that it leaves.
    replica_rests,
    replica_leaves,
    // A request that ends each replica that runs it comes again and again.
    harmful_request,
    count,
};

std::string_view name_of(fault_kind kind);
// Whether an operator or the platform does it on purpose, so that no request may be lost by it.
constexpr bool is_planned(fault_kind kind)
{
    return kind <= fault_kind::configuration_change || kind == fault_kind::evacuation
        || kind == fault_kind::replica_leaves;
}

struct planned_fault {
    milliseconds at { 0 };
    fault_kind kind { fault_kind::router_kill };
    // Chooses the router or replica that it strikes, and the kind of a link's fault.
    std::uint64_t draw { 0 };
    milliseconds lasts { 0 };
};

enum class plan_scope {
    planned_only,
    everything,
};

struct plan_options {
    std::uint64_t seed { 1 };
    milliseconds run_for { 8000 };
    plan_scope scope { plan_scope::everything };
};

// In order of time. The same options give the same plan.
std::vector<planned_fault> draw_plan(plan_options const& options);

} // namespace shedhill::soak
