// SPDX-License-Identifier: BSD-2-Clause
// Implements the mapping with one level for each severity.
#include "services/shedhilld/log_levels.h"

namespace shedhill::daemon {

logging::event_level level_of(dispatch::severity severity)
{
    switch (severity) {
    case dispatch::severity::debug:
        return logging::event_level::debug;
    case dispatch::severity::warning:
        return logging::event_level::warning;
    case dispatch::severity::info:
        break;
    }
    return logging::event_level::info;
}

} // namespace shedhill::daemon
