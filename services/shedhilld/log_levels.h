// SPDX-License-Identifier: BSD-2-Clause
// Maps the severities of the dispatcher's log lines to levels of the log.
#pragma once

#include "libraries/dispatch/effects.h"
#include "libraries/logging/event_log.h"

namespace shedhill::daemon {

[[nodiscard]] logging::event_level level_of(dispatch::severity severity);

} // namespace shedhill::daemon
