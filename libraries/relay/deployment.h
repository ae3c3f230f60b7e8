// SPDX-License-Identifier: BSD-2-Clause
// The settings of a router process in its deployment: addresses, failure domain, the store, and operating limits.
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
    // The region of each failure domain; empty if the deployment names none.
    dispatch::region_map regions;
    // Addresses at which this router listens for callers, for readiness checks, and for other routers.
    std::string caller_address;
    std::string ready_address;
    std::string peer_address;
    // The address at which metrics are served; empty to serve none.
    std::string metrics_address;
    std::string store_address;
    // Peer addresses of some routers; they may be out of date.
    std::vector<std::string> seeds;
    // Time from the request to stop until the process is killed.
    milliseconds stop_time { 8000 };
    // The fleet's retry budget within a window: a fraction of the requests plus a constant number of retries.
    double retry_ratio { 0.1 };
    double retry_slack { 10 };
    milliseconds retry_window { 10000 };
    // What the whole fleet may send to a cold endpoint in any second: a multiple of what the endpoint can sustain, plus
    // a constant number of requests.
    double cold_overage { 1 };
    double cold_slack { 0 };
    // Time from the store's announcement that an endpoint leaves until no request may be sent to it any more.
    milliseconds leaving_bound { 2000 };
    // The window over which the teams' shares are measured.
    milliseconds share_window { 4000 };
    // The time for which a caller that acknowledges and does not read its answer keeps its connection.
    milliseconds max_unread_answer_time { 8000 };
    std::size_t file_descriptor_limit { 1024 };
    // The VM's memory; 0 if the deployment does not name it.
    std::size_t memory_bytes { 0 };
    // The limit of the bytes that are kept for peers; 0 for no limit.
    std::size_t buffer_limit_bytes { 0 };
    // The capacity of the VM's link in each direction; 0 if the deployment does not name it.
    double link_megabits_per_second { 0 };
    // Up to this number of routers form a full mesh; a larger fleet exchanges sums between failure domains.
    std::size_t max_full_mesh_routers { 12 };
    // Processor cores, or a fraction of one, that the process may use; 0 if the deployment does not name it.
    double cpu_cores { 0 };

    bool operator==(deployment_settings const&) const = default;
};

} // namespace shedhill::relay
