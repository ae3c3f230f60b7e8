// SPDX-License-Identifier: BSD-2-Clause
// A router's row in the table of routers: where it is reached, and the requests that it has quarantined. What it knew
// besides is gone after a restart; these it reads again, so that a loss of all routers at once lets none of them go on.
#pragma once

#include "libraries/dispatch/suspects/crash_record.h"
#include "libraries/peering/fleet_member.h"

#include <string>
#include <string_view>
#include <vector>

namespace shedhill::peering {

struct router_row {
    fleet_member member;
    std::vector<dispatch::crash_record> quarantined {};
};

// The member's text, and a line for each quarantined request: "TEAM CONTENT EPOCH CRASHES ANSWERED".
std::string to_text(router_row const& row);
// Lines that cannot be read are left out.
router_row parse_router_row(std::string_view text);

} // namespace shedhill::peering
