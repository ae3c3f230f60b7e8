// SPDX-License-Identifier: BSD-2-Clause
// The router on the users' platform: the direct router with the platform's bindings.
#pragma once

#include "libraries/dispatch/policy.h"

#include <cstdint>
#include <string>

namespace shedhill::daemon {

// Runs until the process is stopped; the exit status is the process's. With `is_check` the settings are read and told
// good or bad, and nothing is run. An empty path stands for the file that the platform names.
struct platform_router_options {
    // The platform's settings file; empty for where the environment says that it is.
    std::string settings_file;
    dispatch::dispatch_policy policy;
    // Up to so many routers are connected all to all.
    std::size_t most_in_full_mesh { 0 };
    // Where metrics are served on the VM's address; 0 for the first port that the platform keeps free for routers.
    std::uint16_t metrics_port { 0 };
    // Only reads the settings.
    bool is_check { false };
};

int run_platform_router(platform_router_options const& options);

} // namespace shedhill::daemon
