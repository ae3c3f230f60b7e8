// SPDX-License-Identifier: BSD-2-Clause
// What a router process is told of its place: addresses, failure domain, the store, and the bounds it is held to.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"
#include "libraries/dispatch/region_bound.h"

#include <cstddef>
#include <string>
#include <vector>

namespace shedhill::relay {

struct deployment_settings {
    vm_name vm;
    failure_domain domain;
    // Of each failure domain; empty where the deployment tells none.
    dispatch::region_map regions;
    // Where callers connect, where readiness is asked for, and where other routers connect.
    std::string caller_address;
    std::string ready_address;
    std::string peer_address;
    // Where counters are served; empty for nowhere.
    std::string metrics_address;
    std::string store_address;
    // Peer addresses of some routers; perhaps out of date.
    std::vector<std::string> seeds;
    // From the request to stop until the process is ended.
    milliseconds stop_time { 8000 };
    // Retries of the whole fleet within a window: a share of the requests, and some more.
    double retry_ratio { 0.1 };
    double retry_slack { 10 };
    milliseconds retry_window { 10000 };
    // In any second the whole fleet may send a cold endpoint so many times what it bears, and some more.
    double cold_overage { 1 };
    double cold_slack { 0 };
    // From the store's word that an endpoint leaves until no request may reach it any more.
    milliseconds leaving_bound { 2000 };
    // Over which teams' shares are judged.
    milliseconds share_window { 4000 };
    std::size_t descriptors { 1024 };
    // Of the VM; 0 where it is not told.
    std::size_t memory_bytes { 0 };
    // What the VM's link carries in each direction; 0 where it is not told.
    double link_megabits_per_second { 0 };
    // Up to so many routers are connected all to all; more exchange sums between failure domains.
    std::size_t most_in_full_mesh { 12 };
    // Of a core, that the process may use; 0 where it is not told.
    double processor_share { 0 };

    bool operator==(deployment_settings const&) const = default;
};

} // namespace shedhill::relay
