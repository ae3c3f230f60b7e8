// SPDX-License-Identifier: BSD-2-Clause
// Spans of time, by whom they concern.
#include "tests/soak/soak_troubles.h"

#include <algorithm>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

// Incarnations of a replica are named "i-NUMBER", and one x for each start.
bool is_of_replica(std::string const& incarnation, std::size_t replica)
{
    return incarnation.substr(0, incarnation.find('x')) == "i-" + std::to_string(replica);
}

bool overlaps(failure_span const& span, time_point from, time_point to) { return span.from <= to && from <= span.to; }

} // namespace

bool had_trouble(soak_record const& record, std::size_t router, time_point from, time_point to)
{
    return std::ranges::any_of(record.router_troubles,
        [&](router_trouble const& trouble) { return trouble.router == router && overlaps(trouble.span, from, to); });
}

// The replica's word may not have come through.
bool had_link_trouble(soak_record const& record, std::string const& incarnation, time_point from, time_point to)
{
    return std::ranges::any_of(record.link_troubles, [&](link_trouble const& trouble) {
        return is_of_replica(incarnation, trouble.replica) && overlaps(trouble.span, from, to);
    });
}

} // namespace shedhill::soak
