// SPDX-License-Identifier: BSD-2-Clause
// Declares the commands that explain the state of the fleet and the outcome of requests.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// Prints the accepted revision and the platform's VMs.
exit_code show_status(command_context& context);
// Prints whether a team may use an endpoint and which policies decide it. Returns exit_code::differs if it may not.
exit_code explain_policies(command_context& context);
// Prints the trace of one request from logs. It needs no connection to the platform, so that it also works during an
// outage of the platform.
exit_code explain_request(command_context& context);

} // namespace shedhill::tool
