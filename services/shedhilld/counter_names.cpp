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
    case dispatch::counter_kind::requests:
        return "shedhill_requests_total";
    case dispatch::counter_kind::answers:
        return "shedhill_answers_total";
    case dispatch::counter_kind::failures:
        return "shedhill_failures_passed_on_total";
    case dispatch::counter_kind::answer_stops:
        return with_reason("shedhill_answer_stops_total");
    case dispatch::counter_kind::refusals:
        return with_reason("shedhill_refusals_total");
    case dispatch::counter_kind::retries:
        return with_reason("shedhill_retries_total");
    case dispatch::counter_kind::ejections:
        return "shedhill_ejections_total";
    case dispatch::counter_kind::notices:
        return with_reason("shedhill_endpoint_notices_total");
    case dispatch::counter_kind::crashes:
        return "shedhill_request_crashes_total";
    case dispatch::counter_kind::request_faults:
        return "shedhill_request_faults_total";
    case dispatch::counter_kind::resumptions:
        return with_reason("shedhill_stream_resumptions_total");
    case dispatch::counter_kind::cancelled:
        break;
    }
    return "shedhill_cancelled_total";
}

std::string histogram_name(dispatch::timer_event const& measured)
{
    auto const with_pool
        = [&](char const* name) { return std::string(name) + "{pool=\"" + measured.pool.value() + "\"}"; };
    switch (measured.which) {
    case dispatch::timer_kind::wait:
        return with_pool("shedhill_wait_seconds");
    case dispatch::timer_kind::first_event:
        return with_pool("shedhill_first_event_seconds");
    case dispatch::timer_kind::answer:
        return with_pool("shedhill_answer_seconds");
    case dispatch::timer_kind::attempt_first_event:
        return with_pool("shedhill_attempt_first_event_seconds");
    case dispatch::timer_kind::overdue_first_event:
        break;
    }
    return with_pool("shedhill_overdue_first_event_seconds");
}

} // namespace shedhill::daemon
