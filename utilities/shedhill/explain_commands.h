// SPDX-License-Identifier: BSD-2-Clause
// Commands that say why something is as it is.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// The accepted revision and the platform's VMs.
exit_code show_status(command_context& context);
// By which policies a team may go to an endpoint.
exit_code explain_policies(command_context& context);
// One request's story from logs. It needs no platform: it serves on call, when nothing else may answer.
exit_code explain_request(command_context& context);

} // namespace shedhill::tool
