// SPDX-License-Identifier: BSD-2-Clause
// Names the events of the dispatcher.
#include "libraries/dispatch/events.h"

#include <array>

namespace shedhill::dispatch {

std::string_view name_of(event_body const& body)
{
    constexpr std::array<std::string_view, std::variant_size_v<event_body>> names { "request_arrived", "caller_left",
        "answer_began", "attempt_ended", "attempt_stalled", "endpoint_notice_received", "endpoint_probed",
        "quarantines_loaded", "versions_restored", "streams_restored", "configuration_received", "domains_evacuated",
        "endpoints_listed", "routers_listed", "peer_report", "peer_lost", "drain_requested", "drain_expired", "tick" };
    return names.at(body.index());
}

} // namespace shedhill::dispatch
