// SPDX-License-Identifier: BSD-2-Clause
// The log's lines and the counters of calls to the store.
#pragma once

#include "libraries/dispatch/store/store_followers.h"
#include "libraries/logging/event_log.h"

#include <optional>
#include <string>

namespace shedhill::daemon {

struct store_log_line {
    logging::event_level level { logging::event_level::warning };
    // The event's stable name.
    std::string event;
    std::string fields;
};

// None for what is counted only: each call that is answered.
[[nodiscard]] std::optional<store_log_line> log_line_of(dispatch::store_note const& event);
// The counter of a call that has ended; none for what is no call's end.
[[nodiscard]] std::optional<std::string> call_counter_of(dispatch::store_note const& event);

} // namespace shedhill::daemon
