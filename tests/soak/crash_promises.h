// SPDX-License-Identifier: BSD-2-Clause
// What is promised of requests that end the replicas that run them.
#pragma once

#include "tests/soak/soak_record.h"

#include <string>
#include <vector>

namespace shedhill::soak {

// One line for each harmful request that went on to replicas after the third had ended under it.
std::vector<std::string> find_broken_crash_bounds(soak_record const& record);

} // namespace shedhill::soak
