// SPDX-License-Identifier: BSD-2-Clause
// Commands that ask routers, not the platform: what they tell on their metrics ports.
#pragma once

#include "utilities/shedhill/command_context.h"

namespace shedhill::tool {

// What matters first of each router that is named.
exit_code show_routers(command_context& context);
// The same of all of them together: how they spread, and who stands out.
exit_code show_fleet(command_context& context);
// The engines as one router sees them.
exit_code show_engines(command_context& context);

} // namespace shedhill::tool
