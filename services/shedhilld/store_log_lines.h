// SPDX-License-Identifier: BSD-2-Clause
// Builds the log lines and the counter names for calls to the store.
#pragma once

#include "libraries/dispatch/store/store_watchers.h"
#include "libraries/logging/event_log.h"

#include <optional>
#include <string>

namespace shedhill::daemon {

struct store_log_line {
    logging::event_level level { logging::event_level::warning };
    // The event's stable name in the log.
    std::string event;
    std::string fields;
};

// Returns the log line for the event. An answered call has none, because it is counted only.
[[nodiscard]] std::optional<store_log_line> log_line_of(dispatch::store_event const& event);
// Returns the counter of a call that has ended; none for an event that ends no call.
[[nodiscard]] std::optional<std::string> call_counter_of(dispatch::store_event const& event);

} // namespace shedhill::daemon
