// SPDX-License-Identifier: BSD-2-Clause
// Everything the dispatcher does. The reducer returns these as data; the relay, or a test, carries them out.
#pragma once

#include "libraries/dispatch/types.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::dispatch {

enum class connection_choice {
    // A kept connection will do.
    any,
    // A new connection, or one used a moment ago: an endpoint that closes a kept connection just as a request is
    // written leaves open whether that request ran.
    fresh,
};

// Sends the request to an endpoint. An answer to an earlier attempt is no longer passed on.
struct send_attempt {
    request_number request {};
    attempt_number attempt {};
    endpoint_name endpoint;
    // Of its start: connections are kept for one start only.
    endpoint_key start;
    std::string address;
    team_name team;
    answer_form form { answer_form::whole };
    // What is left of the caller's time and the route's limit.
    milliseconds time_left { 0 };
    connection_choice connection { connection_choice::any };
    // Nothing from the endpoint in this time before the answer begins: the attempt is silent.
    milliseconds silence_limit { 0 };
};

// Opens a connection to see whether the endpoint still listens; an endpoint_probed follows.
struct probe_endpoint {
    endpoint_key start;
    std::string address;
};

// Drops the attempt under way and its connection.
struct cancel_attempt {
    request_number request {};
};

// The final answer to a request of which nothing was passed on.
struct answer_refusal {
    request_number request {};
    std::uint16_t status { 0 };
    refusal_reason reason { refusal_reason::none };
    std::optional<milliseconds> retry_after;
};

// The endpoint's own failure, which was kept back, is the final answer.
struct pass_answer {
    request_number request {};
};

// Ends an answer that has begun so that the caller sees that it is not whole.
struct break_answer {
    request_number request {};
    refusal_reason reason { refusal_reason::none };
};

struct set_ready {
    bool is_ready { false };
    // Callers are to go to another router: their connections are closed after an answer, once no new ones come.
    bool sends_callers_away { false };
};

// The drain is complete: nothing is in flight.
struct stop_process { };

enum class severity { debug, info, warning };

// A line of the log: an event's stable name and its fields, already in JSON but for the outer braces.
struct log_line {
    severity level { severity::debug };
    std::string event;
    std::string fields;
};

enum class counted { requests, answers, failures, refusals, retries, ejections, notices, crashes, cancelled };

struct count_event {
    counted which { counted::requests };
    // The refusal's or the failed attempt's reason, where there is one.
    std::string_view reason;
};

enum class timed {
    // From a request's arrival until it was first sent.
    wait,
    // From its arrival to its stream's first event.
    first_event,
    // From its arrival to the end of its answer.
    answer,
    // From an attempt's being sent to its first event: how the pool's endpoints fare.
    attempt_first_event,
    // How much later than foreseen a first event came; nothing where it came earlier.
    overdue_first_event,
};

struct time_event {
    timed which { timed::wait };
    pool_name pool;
    milliseconds took { 0 };
};

using effect = std::variant<send_attempt, cancel_attempt, answer_refusal, pass_answer, break_answer, set_ready,
    stop_process, probe_endpoint, log_line, count_event, time_event>;

using effect_list = std::vector<effect>;

} // namespace shedhill::dispatch
