// SPDX-License-Identifier: BSD-2-Clause
// Times and names that a run's course and its faults share.
#pragma once

#include "base/units.h"

#include <string>

namespace shedhill::soak {

constexpr int poll_ms = 20;

inline int to_int(milliseconds time) { return static_cast<int>(time.count()); }

// Of the route that only this revision has.
inline std::string revision_prefix(std::uint64_t revision) { return "/v" + std::to_string(revision) + "/"; }

} // namespace shedhill::soak
