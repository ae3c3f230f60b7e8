// SPDX-License-Identifier: BSD-2-Clause
// One change of the configuration, as committed to the platform's table and distributed to the fleet.
#pragma once

#include "libraries/config/objects.h"

namespace shedhill::config {

struct change {
    // Chosen by the operator's tool, so that it can look up whether a change was committed when the answer was lost.
    std::string id;
    // The partner whose operators submitted the change. The change may modify that partner's objects only.
    partner_name author;
    std::vector<object> puts;
    // Keys of removed objects, as object_key() builds them.
    std::vector<std::string> removals;
};

result<change> parse_change(std::string_view text);
std::string serialize_change(change const& update);

// Returns an error if the change modifies another partner's objects.
result<void> check_ownership(change const& update);

} // namespace shedhill::config
