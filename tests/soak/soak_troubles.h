// SPDX-License-Identifier: BSD-2-Clause
// What a run did to routers and links, which excuses what follows from it.
#pragma once

#include "tests/soak/soak_record.h"

#include <string>

namespace shedhill::soak {

// Whether the router was stopped, killed or paused at any moment between.
bool had_trouble(soak_record const& record, std::size_t router, soak_clock::time_point from, soak_clock::time_point to);

// Whether the link of the replica, by the name of one of its starts, was harmed at any moment between.
bool had_link_trouble(
    soak_record const& record, std::string const& incarnation, soak_clock::time_point from, soak_clock::time_point to);

} // namespace shedhill::soak
