// SPDX-License-Identifier: BSD-2-Clause
// Looks up the disruptions of routers and links that a run caused; the checks excuse their consequences.
#pragma once

#include "tests/soak/soak_record.h"

#include <string>

namespace shedhill::soak {

// Tells whether the router was stopped, killed or paused at any time in the interval.
bool was_router_disrupted(
    soak_record const& record, std::size_t router, soak_clock::time_point from, soak_clock::time_point to);

// Tells whether a fault affected the link of the incarnation's replica at any time in the interval.
bool was_link_disrupted(
    soak_record const& record, std::string const& incarnation, soak_clock::time_point from, soak_clock::time_point to);

} // namespace shedhill::soak
