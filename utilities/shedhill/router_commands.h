// SPDX-License-Identifier: BSD-2-Clause
// Declares the commands that read the metrics ports of routers. They need no connection to the platform.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// Prints readiness, ages, load, refusals and latencies of each given router.
exit_code show_routers(command_context& context);
// Prints the distribution of these measures over all given routers, with the router that has the maximum.
exit_code show_fleet(command_context& context);
// Prints the state of the engines as one router reports it.
exit_code show_engines(command_context& context);

} // namespace shedhill::tool
