// SPDX-License-Identifier: BSD-2-Clause
// Which requests a ready router takes in: known teams, what selectors allow, and bounded queues.
#pragma once

#include "libraries/router/events.h"
#include "libraries/router/options.h"
#include "libraries/router/reach_cache.h"
#include "libraries/router/work_queues.h"

namespace shedhill::router {

// The reason to refuse the request, or none. The team is the one whose key the caller showed, if there is one.
wire::reason check_admission(caller_request const& arrived, config::team const* team, reach_cache& reach,
    work_queues const& queues, options const& settings);

} // namespace shedhill::router
