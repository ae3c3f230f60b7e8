// SPDX-License-Identifier: BSD-2-Clause
// The names under which the dispatcher's counts are served.
#pragma once

#include "libraries/dispatch/effects.h"

#include <string>

namespace shedhill::daemon {

std::string counter_name(dispatch::count_event const& happened);

} // namespace shedhill::daemon
