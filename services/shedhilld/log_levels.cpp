// SPDX-License-Identifier: BSD-2-Clause
// One level for each severity.
#include "services/shedhilld/log_levels.h"

namespace shedhill::daemon {

logging::event_level level_of(dispatch::severity severity)
{
    switch (severity) {
    case dispatch::severity::detail:
        return logging::event_level::detail;
    case dispatch::severity::failure:
        return logging::event_level::failure;
    case dispatch::severity::state:
        break;
    }
    return logging::event_level::state;
}

} // namespace shedhill::daemon
