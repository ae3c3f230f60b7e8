// SPDX-License-Identifier: BSD-2-Clause
// Writes a line for each call that failed or was given up, and for each loss and return of the store.
#include "services/shedhilld/store_log_lines.h"

#include "libraries/dispatch/log_fields.h"

namespace shedhill::daemon {

namespace {

using event_kind = dispatch::store_event::event_kind;
using logging::event_level;

std::string fields_of(dispatch::store_event const& event)
{
    return dispatch::log_fields()
        .add("table", name_of(event.table))
        .add("reason", name_of(event.reason))
        .add("wait_ms", event.wait.count())
        .add("took_ms", event.elapsed.count())
        .add("unheard_ms", event.since_last_answer.count())
        .take();
}

} // namespace

std::optional<store_log_line> log_line_of(dispatch::store_event const& event)
{
    switch (event.kind) {
    case event_kind::call_answered:
        break;
    case event_kind::call_failed:
        return store_log_line { event_level::warning, "store_call_failed", fields_of(event) };
    case event_kind::call_abandoned:
        return store_log_line { event_level::warning, "store_call_given_up", fields_of(event) };
    case event_kind::lost:
        return store_log_line { event_level::info, "store_lost", fields_of(event) };
    case event_kind::regained:
        return store_log_line { event_level::info, "store_regained", fields_of(event) };
    }
    return std::nullopt;
}

std::optional<std::string> call_counter_of(dispatch::store_event const& event)
{
    auto const counter = [&](std::string_view outcome) {
        return "shedhill_store_calls_total{table=\"" + std::string(name_of(event.table)) + "\",end=\""
            + std::string(outcome) + "\"}";
    };
    switch (event.kind) {
    case event_kind::call_answered:
        return counter("answered");
    case event_kind::call_failed:
        return counter(name_of(event.reason));
    case event_kind::call_abandoned:
        return counter("given_up");
    case event_kind::lost:
    case event_kind::regained:
        break;
    }
    return std::nullopt;
}

} // namespace shedhill::daemon
