// SPDX-License-Identifier: BSD-2-Clause
// What routers owe replicas that ask for rest, or say in an answer that they leave.
#pragma once

#include "tests/soak/soak_record.h"

namespace shedhill::soak {

// One line for each rest in which too much came, and for each request that came to a replica that had left for its
// router.
std::vector<std::string> find_broken_notices(soak_record const& record);

} // namespace shedhill::soak
