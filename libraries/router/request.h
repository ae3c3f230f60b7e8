// SPDX-License-Identifier: BSD-2-Clause
// One caller's request on its way through the router.
#pragma once

#include "libraries/router/events.h"

#include <string>

namespace shedhill::router {

enum class request_phase {
    // Waits for the platform's word that it may run.
    claiming,
    // Waits in its account's queue. Nothing of the present attempt was sent.
    queued,
    // The body was sent to an endpoint.
    running,
};

struct request {
    caller_request caller;
    team_name team;
    account_id account {};
    std::uint32_t weight { 1 };
    request_phase phase { request_phase::queued };
    instant deadline {};

    // Counts the bodies sent. The current attempt's chunks alone are passed on.
    attempt_number attempt {};
    connection_id connection {};
    chunk_sequence next_sequence {};
    instant last_progress {};
    // What is charged to the account for the current attempt.
    service_units charged {};

    // Invariant: once true, no other attempt may start.
    bool has_answer_begun { false };
    std::uint16_t status { 0 };
    std::string content_type;
    // Chunks of an answer that is passed on whole.
    std::string held;

    // Set while this request owns a row in the platform's table.
    std::string claim_id;
    // An earlier attempt may have run: nothing can be called "not run" any more.
    bool may_have_run { false };
};

} // namespace shedhill::router
