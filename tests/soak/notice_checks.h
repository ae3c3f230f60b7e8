// SPDX-License-Identifier: BSD-2-Clause
// Checks that routers respect replicas that ask for back-off or announce in an answer that they leave.
#pragma once

#include "tests/soak/soak_record.h"

namespace shedhill::soak {

// Returns one line for each back-off during which too many requests arrived, and one for each request that reached a
// replica which had announced its leaving to the request's router.
std::vector<std::string> find_notice_violations(soak_record const& record);

} // namespace shedhill::soak
