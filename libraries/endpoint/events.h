// SPDX-License-Identifier: BSD-2-Clause
// Everything that can happen to an endpoint's process, and everything it does.
#pragma once

#include "libraries/wire/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::endpoint {

// One call of the engine or service beside this process.
using call_number = strong_type<std::uint64_t, struct call_number_tag>;

struct connection_up {
    connection_id connection {};
    vm_name vm;
    process_epoch epoch {};
    shedhill::revision revision {};
};

struct connection_down {
    connection_id connection {};
};

struct message_received {
    connection_id connection {};
    wire::message message;
};

struct engine_head {
    call_number call {};
    std::uint16_t status { 0 };
    std::string content_type;
};

struct engine_data {
    call_number call {};
    std::string data;
    // The service of the call so far, in tokens; not set for plain services, which are counted in time.
    service_units service {};
};

enum class engine_end {
    // The answer is whole.
    whole,
    // The engine was not reached: nothing of the request was sent.
    not_sent,
    // The answer broke off.
    cut,
    // This process cancelled the call.
    cancelled,
};

struct engine_ended {
    call_number call {};
    engine_end how { engine_end::cut };
    service_units service {};
};

struct drain_requested { };

struct tick { };

using event_body = std::variant<connection_up, connection_down, message_received, engine_head, engine_data,
    engine_ended, drain_requested, tick>;

struct event {
    instant now {};
    std::uint64_t draw { 0 };
    event_body body;
};

struct send_message {
    connection_id connection {};
    wire::message message;
};

struct start_call {
    call_number call {};
    wire::run request;
};

struct cancel_call {
    call_number call {};
};

struct set_ready {
    bool is_ready { false };
};

struct stop_process { };

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

struct count_refusal {
    wire::reason why { wire::reason::none };
};

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
