// SPDX-License-Identifier: BSD-2-Clause
// Writes a router's state into its metrics at the moment they are requested.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/logging/event_log.h"
#include "libraries/metrics/registry.h"
#include "libraries/relay/buffered_bytes.h"
#include "libraries/relay/peer_traffic.h"

namespace shedhill::daemon {

void set_dispatch_gauges(metrics::registry& registry, dispatch::dispatch_reducer& reducer, instant now);
// Returns a sample for each engine and measure. They are not set in the registry, which would go on to serve the last
// samples of engines that were removed.
std::string engines_text(std::vector<dispatch::engine_view> const& engines);
// Returns a sample for each reason for which an endpoint gets no new work, or less of it: the remaining time in
// milliseconds.
std::string held_endpoints_text(std::vector<dispatch::held_endpoint> const& held);
// Sets the messages and bytes exchanged with other routers since the start, by direction and kind.
void set_peer_gauges(metrics::registry& registry, relay::peer_traffic const& traffic);
// Returns the same counts as fields of a log line.
std::string peer_traffic_fields(relay::peer_traffic const& traffic);
// Sets the bytes that are buffered for peers, by place.
void set_buffer_gauges(metrics::registry& registry, relay::buffer_meter const& buffered);
void set_log_gauges(metrics::registry& registry, logging::event_log_counts const& counts);

} // namespace shedhill::daemon
