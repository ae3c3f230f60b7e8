// SPDX-License-Identifier: BSD-2-Clause
// A line for each call that has failed, and for each loss and return of the store.
#include "services/shedhilld/store_lines.h"

#include "libraries/dispatch/log_fields.h"

namespace shedhill::daemon {

namespace {

using happened = dispatch::store_note::what_happened;
using logging::event_level;

std::string fields_of(dispatch::store_note const& note)
{
    return dispatch::log_fields()
        .add("table", name_of(note.table))
        .add("reason", name_of(note.reason))
        .add("wait_ms", note.wait.count())
        .add("took_ms", note.took.count())
        .add("unheard_ms", note.unheard.count())
        .take();
}

} // namespace

std::optional<store_line> line_of(dispatch::store_note const& note)
{
    switch (note.what) {
    case happened::call_answered:
        break;
    case happened::call_failed:
        return store_line { event_level::warning, "store_call_failed", fields_of(note) };
    case happened::call_given_up:
        return store_line { event_level::warning, "store_call_given_up", fields_of(note) };
    case happened::lost:
        return store_line { event_level::info, "store_lost", fields_of(note) };
    case happened::regained:
        return store_line { event_level::info, "store_regained", fields_of(note) };
    }
    return std::nullopt;
}

std::optional<std::string> counter_of(dispatch::store_note const& note)
{
    auto const counter = [&](std::string_view end) {
        return "shedhill_store_calls_total{table=\"" + std::string(name_of(note.table)) + "\",end=\"" + std::string(end)
            + "\"}";
    };
    switch (note.what) {
    case happened::call_answered:
        return counter("answered");
    case happened::call_failed:
        return counter(name_of(note.reason));
    case happened::call_given_up:
        return counter("given_up");
    case happened::lost:
    case happened::regained:
        break;
    }
    return std::nullopt;
}

} // namespace shedhill::daemon
