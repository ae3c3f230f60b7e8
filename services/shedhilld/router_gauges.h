// SPDX-License-Identifier: BSD-2-Clause
// What a router's metrics show of its state at the moment they are asked for.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/logging/event_log.h"
#include "libraries/metrics/registry.h"
#include "libraries/relay/peer_traffic.h"

namespace shedhill::daemon {

void set_dispatch_gauges(metrics::registry& registry, dispatch::dispatch_reducer& reducer, instant now);
// A sample for each engine and measure; not kept in the registry, which would name engines that are gone.
std::string engines_text(std::vector<dispatch::engine_view> const& engines);
// A line for each reason for which an endpoint gets no new work, or less: for how many milliseconds more.
std::string held_endpoints_text(std::vector<dispatch::held_endpoint> const& held);
// Messages and bytes between routers since the start, by way and kind.
void set_peer_gauges(metrics::registry& registry, relay::peer_traffic const& traffic);
// The same as fields of a log line.
std::string peer_traffic_fields(relay::peer_traffic const& traffic);
void set_log_gauges(metrics::registry& registry, logging::event_log_counts const& counts);

} // namespace shedhill::daemon
