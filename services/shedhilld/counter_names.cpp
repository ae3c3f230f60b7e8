// SPDX-License-Identifier: BSD-2-Clause
// Names one counter for each kind of event, with its reason where it has one, and one histogram for each kind of time
// and pool.
#include "services/shedhilld/counter_names.h"

namespace shedhill::daemon {

std::string counter_name(dispatch::count_event const& event)
{
    auto const with_reason
        = [&](char const* name) { return std::string(name) + "{reason=\"" + std::string(event.reason) + "\"}"; };
    switch (event.which) {
    case dispatch::counted::requests:
        return "shedhill_requests_total";
    case dispatch::counted::answers:
        return "shedhill_answers_total";
    case dispatch::counted::failures:
        return "shedhill_failures_passed_on_total";
    case dispatch::counted::refusals:
        return with_reason("shedhill_refusals_total");
    case dispatch::counted::retries:
        return with_reason("shedhill_retries_total");
    case dispatch::counted::ejections:
        return "shedhill_ejections_total";
    case dispatch::counted::notices:
        return with_reason("shedhill_endpoint_notices_total");
    case dispatch::counted::crashes:
        return "shedhill_request_crashes_total";
    case dispatch::counted::cancelled:
        break;
    }
    return "shedhill_cancelled_total";
}

std::string histogram_name(dispatch::time_event const& measured)
{
    auto const with_pool
        = [&](char const* name) { return std::string(name) + "{pool=\"" + measured.pool.value() + "\"}"; };
    switch (measured.which) {
    case dispatch::timed::wait:
        return with_pool("shedhill_wait_seconds");
    case dispatch::timed::first_event:
        return with_pool("shedhill_first_event_seconds");
    case dispatch::timed::answer:
        return with_pool("shedhill_answer_seconds");
    case dispatch::timed::attempt_first_event:
        return with_pool("shedhill_attempt_first_event_seconds");
    case dispatch::timed::overdue_first_event:
        break;
    }
    return with_pool("shedhill_overdue_first_event_seconds");
}

} // namespace shedhill::daemon
