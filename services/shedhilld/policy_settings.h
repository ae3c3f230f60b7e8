// SPDX-License-Identifier: BSD-2-Clause
// Offers the dispatcher's weights and limits as settings of the daemon.
#pragma once

#include "libraries/dispatch/policy.h"
#include "libraries/settings/setting_table.h"

namespace shedhill::daemon {

// Adds a setting for each weight and limit, with the policy's own value as the default.
void describe_policy(settings::setting_table& table);
// Returns the policy that the settings describe.
dispatch::dispatch_policy read_policy(settings::setting_values const& values);

} // namespace shedhill::daemon
