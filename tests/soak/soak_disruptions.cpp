// SPDX-License-Identifier: BSD-2-Clause
// Searches the recorded disruptions by router or replica and by time.
#include "tests/soak/soak_disruptions.h"

#include <algorithm>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

// Tells whether the incarnation belongs to the replica. Incarnations are named "i-NUMBER", followed by an "x" for each
// restart.
bool is_of_replica(std::string const& incarnation, std::size_t replica)
{
    return incarnation.substr(0, incarnation.find('x')) == "i-" + std::to_string(replica);
}

bool overlaps(failure_span const& span, time_point from, time_point to) { return span.from <= to && from <= span.to; }

} // namespace

bool was_router_disrupted(soak_record const& record, std::size_t router, time_point from, time_point to)
{
    return std::ranges::any_of(record.router_disruptions, [&](router_disruption const& disruption) {
        return disruption.router == router && overlaps(disruption.span, from, to);
    });
}

// The notices of the replica may not have reached the routers during the disruption.
bool was_link_disrupted(soak_record const& record, std::string const& incarnation, time_point from, time_point to)
{
    return std::ranges::any_of(record.link_disruptions, [&](link_disruption const& disruption) {
        return is_of_replica(incarnation, disruption.replica) && overlaps(disruption.span, from, to);
    });
}

} // namespace shedhill::soak
