// SPDX-License-Identifier: BSD-2-Clause
// Checks the bound on how often a request that crashes replicas reaches further replicas.
#pragma once

#include "tests/soak/soak_record.h"

#include <string>
#include <vector>

namespace shedhill::soak {

// Returns one line for each harmful request that kept reaching replicas after it had crashed three of them.
std::vector<std::string> find_crash_violations(soak_record const& record);

} // namespace shedhill::soak
