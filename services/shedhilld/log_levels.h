// SPDX-License-Identifier: BSD-2-Clause
// The log's level of what the dispatcher writes.
#pragma once

#include "libraries/dispatch/effects.h"
#include "libraries/logging/event_log.h"

namespace shedhill::daemon {

[[nodiscard]] logging::event_level level_of(dispatch::severity severity);

} // namespace shedhill::daemon
