// SPDX-License-Identifier: BSD-2-Clause
// The names under which the dispatcher's counts and times are served.
#pragma once

#include "libraries/dispatch/effects.h"

#include <string>

namespace shedhill::daemon {

std::string counter_name(dispatch::count_event const& event);
// The histogram that the time counts into.
std::string histogram_name(dispatch::time_event const& measured);

} // namespace shedhill::daemon
