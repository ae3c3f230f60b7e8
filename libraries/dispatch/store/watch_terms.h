// SPDX-License-Identifier: BSD-2-Clause
// Decides how often a router polls the tables of the store and how long the store may hold each long poll. This depends
// on the bound within which a leaving endpoint receives no new requests, and on how many routers of the same failure
// domain watch the store.
#pragma once

#include "libraries/dispatch/store/table_watcher.h"
#include "libraries/dispatch/types.h"

#include <array>

namespace shedhill::dispatch {

constexpr std::size_t table_count = static_cast<std::size_t>(table_name::watched_count);

// The conditions that the terms depend on.
struct watch_situation {
    // The time for which a leaving endpoint may still receive requests.
    milliseconds leaving_bound { 0 };
    // This router watches the store itself; otherwise routers of its failure domain that do report to it.
    bool is_watcher { true };
    // The failure domain has more routers than watchers.
    bool is_shared { false };
    // This router is among those that probe an unavailable store most often and report its recovery to the others.
    bool is_outage_prober { true };
};

// How a router polls the store.
struct watch_terms {
    // Indexed by table_name.
    std::array<watch_options, table_count> tables {};
    // The time between two calls of any tables while the store does not answer.
    milliseconds probe_interval { 0 };
    bool is_watcher { true };

    [[nodiscard]] watch_options const& of(table_name table) const { return tables.at(static_cast<std::size_t>(table)); }
};

// Returns the minimum time between two polls of the endpoint list by a router that watches it.
[[nodiscard]] milliseconds list_poll_interval(milliseconds leaving_bound);
[[nodiscard]] watch_terms make_watch_terms(watch_situation const& situation);

} // namespace shedhill::dispatch
