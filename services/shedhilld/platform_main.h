// SPDX-License-Identifier: BSD-2-Clause
// Starts the router on the users' platform: a platform_router with the platform's bindings.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/policy.h"

#include <cstdint>
#include <string>

namespace shedhill::daemon {

// Holds the flags of the process that concern the router on the users' platform.
struct platform_router_options {
    // The path of the platform's settings file; empty for the path that the platform's environment variable names.
    std::string settings_file;
    dispatch::dispatch_policy policy;
    // Up to this number of routers each router connects to all others.
    std::size_t max_full_mesh_routers { 0 };
    // The port on the VM's address at which metrics are served; 0 for the first port that the platform reserves for
    // routers.
    std::uint16_t metrics_port { 0 };
    // The time for which a caller that does not read its answer keeps its connection.
    milliseconds max_unread_answer_time { 0 };
    // The limit of the bytes that are kept for peers, in MB; 0 for a quarter of the memory that the process may use.
    std::size_t buffer_limit_mb { 0 };
    // Only validates the settings.
    bool is_check_only { false };
};

// Runs the router until the process is stopped and returns the exit status of the process, which is 2 for invalid
// settings. With `is_check_only` it validates the settings, reports the result and runs nothing.
int run_platform_router(platform_router_options const& options);

} // namespace shedhill::daemon
