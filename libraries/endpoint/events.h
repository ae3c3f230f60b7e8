// SPDX-License-Identifier: BSD-2-Clause
// The events and effects of an endpoint process.
#pragma once

#include "libraries/wire/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::endpoint {

// Identifies one call of the engine or service that runs beside this process.
using call_number = strong_type<std::uint64_t, struct call_number_tag>;

// A router connected.
struct connection_up {
    connection_id connection {};
    vm_name vm;
    process_epoch epoch {};
    // The latest revision of the configuration that the router knows.
    shedhill::revision revision {};
};

// A router's connection was closed or lost.
struct connection_down {
    connection_id connection {};
};

struct message_received {
    connection_id connection {};
    wire::message message;
};

// The status and content type of the engine's answer.
struct engine_head {
    call_number call {};
    std::uint16_t status { 0 };
    std::string content_type;
};

// A part of the body of the engine's answer.
struct engine_data {
    call_number call {};
    std::string data;
    // The service of the call so far; zero for plain services, which are charged by time.
    service_units service {};
};

// How a call ended.
enum class engine_end {
    // The answer is complete.
    whole,
    // The engine was not reachable; no part of the request was sent.
    not_sent,
    // The answer ended before it was complete.
    cut,
    // This process cancelled the call.
    cancelled,
};

// A call ended; it is the last event of the call.
struct engine_ended {
    call_number call {};
    engine_end end { engine_end::cut };
    // The service of the whole call; ignored for plain services, which are charged by time.
    service_units service {};
};

// The process is to refuse new requests and to end once the running ones have finished.
struct drain_requested { };

// Periodic event that drives timeouts and announcements.
struct tick { };

using event_body = std::variant<connection_up, connection_down, message_received, engine_head, engine_data,
    engine_ended, drain_requested, tick>;

struct event {
    instant now {};
    // The seed of the random choices of this step.
    std::uint64_t draw { 0 };
    event_body body;
};

// Sends a message to a router.
struct send_message {
    connection_id connection {};
    wire::message message;
};

// Sends the request to the engine or service.
struct start_call {
    call_number call {};
    // The connection to the router that receives the answer.
    connection_id connection {};
    wire::run request;
};

// Cancels a call; engine_ended follows.
struct cancel_call {
    call_number call {};
};

// Changes whether the process reports itself as ready.
struct set_ready {
    bool is_ready { false };
};

// Stops the process: the drain is complete.
struct stop_process { };

// The counters of an endpoint process; `count` is their number.
enum class counter {
    grants,
    grants_unused,
    runs_started,
    runs_whole,
    runs_cut,
    runs_cancelled,
    runs_repeated,
    offers_received,
    idle_announcements,
    count,
};

struct count_event {
    counter which { counter::count };
};

// Counts a refusal by its reason.
struct count_refusal {
    wire::reason why { wire::reason::none };
};

// Logs a change of state.
struct log_line {
    std::string text;
};

using effect = std::variant<send_message, start_call, cancel_call, set_ready, stop_process, count_event, count_refusal,
    log_line>;
using effect_list = std::vector<effect>;

constexpr std::string_view name_of(counter which)
{
    switch (which) {
    case counter::grants:
        return "grants";
    case counter::grants_unused:
        return "grants_unused";
    case counter::runs_started:
        return "runs_started";
    case counter::runs_whole:
        return "runs_whole";
    case counter::runs_cut:
        return "runs_cut";
    case counter::runs_cancelled:
        return "runs_cancelled";
    case counter::runs_repeated:
        return "runs_repeated";
    case counter::offers_received:
        return "offers_received";
    case counter::idle_announcements:
        return "idle_announcements";
    case counter::count:
        break;
    }
    return "invalid";
}

} // namespace shedhill::endpoint
