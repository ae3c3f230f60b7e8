// SPDX-License-Identifier: BSD-2-Clause
// The effects of the dispatcher. The reducer returns them as data; the relay or a test carries them out.
#pragma once

#include "libraries/dispatch/types.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::dispatch {

enum class connection_choice {
    // The attempt may use any pooled connection.
    any,
    // The attempt needs a new or a recently used connection: if an endpoint closes an idle connection while the router
    // writes a request, the router cannot tell whether the request ran.
    fresh,
};

// Sends the request to an endpoint. The router no longer forwards answers to earlier attempts.
struct send_attempt {
    request_number request {};
    attempt_number attempt {};
    endpoint_name endpoint;
    // The instance of the endpoint; connections are pooled by instance.
    endpoint_key instance;
    std::string address;
    team_name team;
    answer_form form { answer_form::whole };
    // The time until the caller's deadline or the route's time limit, whichever is first.
    milliseconds time_left { 0 };
    connection_choice connection { connection_choice::any };
    // The attempt counts as stalled after this time without data from the endpoint.
    milliseconds silence_limit { 0 };
};

// Opens a connection to test whether the endpoint still listens. An endpoint_probed event reports the result.
struct probe_endpoint {
    endpoint_key instance;
    std::string address;
};

// Aborts the running attempt and closes its connection.
struct cancel_attempt {
    request_number request {};
};

// Refuses a request of whose answer nothing was forwarded.
struct answer_refusal {
    request_number request {};
    std::uint16_t status { 0 };
    refusal_reason reason { refusal_reason::none };
    std::optional<milliseconds> retry_after;
};

// Forwards the endpoint's withheld failure as the final answer.
struct forward_answer {
    request_number request {};
};

// Ends a started answer in such a way that the caller detects that it is incomplete.
struct abort_answer {
    request_number request {};
    refusal_reason reason { refusal_reason::none };
};

// Sets the readiness that the router reports to the load balancer.
struct set_ready {
    bool is_ready { false };
    // The relay closes callers' connections after an answer, once the load balancer has stopped sending new callers, so
    // that they reconnect to other routers.
    bool closes_caller_connections { false };
};

// Stops the process after a drain; no request is in flight.
struct stop_process { };

enum class severity { debug, info, warning };

// A log line: the stable name of an event and its fields as JSON members without the outer braces.
struct log_line {
    severity level { severity::debug };
    std::string event;
    std::string fields;
};

enum class counter_kind {
    requests,
    answers,
    failures,
    // Ends of answers, by what ended them.
    answer_stops,
    refusals,
    retries,
    ejections,
    notices,
    crashes,
    // Failures of attempts that were caused by their requests.
    request_faults,
    // Requests that resume a stream, by how this router knows the version that began the stream.
    resumptions,
    cancelled,
};

// Increments a counter of the metrics.
struct count_event {
    counter_kind which { counter_kind::requests };
    // The reason of a refusal, a failed attempt, a notice, a resumption or the end of an answer; empty for other
    // counters.
    std::string_view reason;
};

enum class timer_kind {
    // The time from a request's arrival until it was first sent.
    wait,
    // The time from a request's arrival until its first event was forwarded.
    first_event,
    // The time from a request's arrival until the end of its answer.
    answer,
    // The time from the sending of an attempt until its first event: the latency of the pool's endpoints.
    attempt_first_event,
    // The delay of a first event beyond its estimate; 0 if it was earlier.
    overdue_first_event,
};

// Records a duration in a histogram of the metrics.
struct timer_event {
    timer_kind which { timer_kind::wait };
    pool_name pool;
    milliseconds duration { 0 };
};

using effect = std::variant<send_attempt, cancel_attempt, answer_refusal, forward_answer, abort_answer, set_ready,
    stop_process, probe_endpoint, log_line, count_event, timer_event>;

using effect_list = std::vector<effect>;

} // namespace shedhill::dispatch
