// SPDX-License-Identifier: BSD-2-Clause
// Draws the faults of one soak run from a seed. Faults come in series of one kind; series start at random times and may
// overlap.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace shedhill::soak {

enum class fault_kind {
    // Maintenance that an operator or the platform does on purpose.
    router_stop,
    router_reload,
    replica_drain,
    configuration_change,
    // Signals sent to processes.
    router_kill,
    router_pause,
    all_routers_kill,
    replica_kill,
    replica_pause,
    store_pause,
    // Faulty behaviour of replicas: they reject, cut answers off, never answer, or answer with errors.
    replica_busy,
    replica_cuts,
    replica_mute,
    replica_fails,
    // Faults of links, injected by proxies.
    replica_link,
    store_link,
    // Faults of the store: it is down, loses its feed history, loses its answers, or its endpoint entries expire.
    store_down,
    store_forgets,
    store_loses_answers,
    entries_lapse,
    // The kinds from here on have generators of their own, so that a seed still draws the same faults of the kinds
    // above.
    evacuation,
    connections_silent,
    // Replicas that reject all requests and ask for back-off, and a replica that announces in its answers that it
    // leaves.
    replica_rests,
    replica_leaves,
    // A request that crashes each replica that runs it is sent repeatedly.
    harmful_request,
    count,
};

std::string_view name_of(fault_kind kind);
// Tells whether the fault is planned maintenance, which must not lose any request.
constexpr bool is_planned(fault_kind kind)
{
    return kind <= fault_kind::configuration_change || kind == fault_kind::evacuation
        || kind == fault_kind::replica_leaves;
}

struct planned_fault {
    // Time since the start of the run.
    milliseconds at { 0 };
    fault_kind kind { fault_kind::router_kill };
    // A random number that selects the affected router or replica, and the fault of a link.
    std::uint64_t draw { 0 };
    milliseconds duration { 0 };
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

// Returns the faults sorted by time. The same options give the same plan.
std::vector<planned_fault> draw_plan(plan_options const& options);

} // namespace shedhill::soak
