// SPDX-License-Identifier: BSD-2-Clause
// Names the metrics in which the dispatcher's counts and times are served.
#pragma once

#include "libraries/dispatch/effects.h"

#include <string>

namespace shedhill::daemon {

// Returns the counter that the event is counted in.
std::string counter_name(dispatch::count_event const& event);
// Returns the histogram that the time is recorded in.
std::string histogram_name(dispatch::timer_event const& measured);

} // namespace shedhill::daemon
