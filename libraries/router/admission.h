// SPDX-License-Identifier: BSD-2-Clause
// Admission checks of a ready router: the team's key, the selectors that apply to the team, and the queue bounds.
#pragma once

#include "libraries/router/events.h"
#include "libraries/router/options.h"
#include "libraries/router/reach_cache.h"
#include "libraries/router/work_queues.h"

namespace shedhill::router {

// Returns the reason to refuse the request, or wire::reason::none. `team` is the team that owns the caller's API key,
// or null if no team owns it.
wire::reason check_admission(caller_request const& arrived, config::team const* team, reach_cache& reach,
    work_queues const& queues, options const& settings);

} // namespace shedhill::router
