// SPDX-License-Identifier: BSD-2-Clause
// A router's row in the store's table of routers: its address, the requests that it has quarantined, and the software
// versions that it knows. A router loses all other state when it restarts. It reads these back, so that they are known
// even if all routers fail at once.
#pragma once

#include "libraries/dispatch/streams/version_history.h"
#include "libraries/dispatch/suspects/crash_record.h"
#include "libraries/peering/fleet_member.h"

#include <string>
#include <string_view>
#include <vector>

namespace shedhill::peering {

struct router_row {
    fleet_member member;
    std::vector<dispatch::crash_record> quarantined {};
    std::vector<dispatch::stored_version> versions {};
    // Routers of earlier versions state no software versions.
    bool states_versions { false };
};

// Formats the row: the member's text, then a line for each quarantined request: "TEAM CONTENT EPOCH CRASHES ANSWERED",
// and a line that begins with "V" and holds "POOL SOFTWARE SETTLED" for each software version.
std::string to_text(router_row const& row);
// Parses a row. Lines of requests that are not valid are skipped.
router_row parse_router_row(std::string_view text);

} // namespace shedhill::peering
