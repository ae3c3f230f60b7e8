// SPDX-License-Identifier: BSD-2-Clause
// What a router's metrics show of its state at the moment they are asked for.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/logging/event_log.h"
#include "libraries/metrics/registry.h"

namespace shedhill::daemon {

void set_dispatch_gauges(metrics::registry& registry, dispatch::dispatch_reducer& reducer, instant now);
void set_log_gauges(metrics::registry& registry, logging::event_log_counts const& counts);

} // namespace shedhill::daemon
