// SPDX-License-Identifier: BSD-2-Clause
// The router on the users' platform: the direct router with the platform's bindings.
#pragma once

#include "libraries/dispatch/policy.h"

#include <string>

namespace shedhill::daemon {

// Runs until the process is stopped; the exit status is the process's. With `is_check` the settings are read and told
// good or bad, and nothing is run. An empty path stands for the file that the platform names.
int run_direct_router(std::string const& settings_file, dispatch::dispatch_policy const& policy, bool is_check);

} // namespace shedhill::daemon
