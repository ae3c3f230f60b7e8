// SPDX-License-Identifier: BSD-2-Clause
// Constants and names shared by the control flow of a soak run and its faults.
#pragma once

#include "base/units.h"

#include <string>

namespace shedhill::soak {

constexpr int poll_interval_ms = 20;

inline int to_int(milliseconds time) { return static_cast<int>(time.count()); }

// Returns the path prefix of the route that only this revision of the configuration has.
inline std::string revision_prefix(std::uint64_t revision) { return "/v" + std::to_string(revision) + "/"; }

} // namespace shedhill::soak
