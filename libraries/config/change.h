// SPDX-License-Identifier: BSD-2-Clause
// One change of the configuration, as it is committed to the platform's table and spread over the fleet.
#pragma once

#include "libraries/config/objects.h"

namespace shedhill::config {

struct change {
    // Chosen by the operator's tool, so that a change whose answer was lost can be read back.
    std::string id;
    // The partner whose operators made the change. It may touch that partner's objects only.
    partner_name author;
    std::vector<object> puts;
    // Keys as of object_key.
    std::vector<std::string> removals;
};

result<change> parse_change(std::string_view text);
std::string serialize_change(change const& made);

// Refuses a change that touches another partner's objects.
result<void> check_ownership(change const& made);

} // namespace shedhill::config
