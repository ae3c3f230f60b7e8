// SPDX-License-Identifier: BSD-2-Clause
// The state of one caller's request in the router.
#pragma once

#include "libraries/router/events.h"

#include <string>

namespace shedhill::router {

// The phase of an open request.
enum class request_phase {
    // The request waits for the verdict on its claim.
    claiming,
    // The request waits in its account's queue; no attempt is running.
    queued,
    // The request was sent to an endpoint.
    running,
};

// A request from its admission to its final answer.
struct request {
    caller_request caller;
    team_name team;
    account_id account {};
    std::uint32_t weight { 1 };
    request_phase phase { request_phase::queued };
    instant deadline {};

    // The number of the latest attempt. Only chunks of this attempt are forwarded.
    attempt_number attempt {};
    connection_id connection {};
    chunk_sequence next_sequence {};
    // When the attempt started or its latest chunk arrived.
    instant last_progress {};
    // The service that is charged to the account for the current attempt.
    service_units charged_service {};

    // Whether the caller received the start of the answer. No other attempt starts after that.
    bool has_answer_started { false };
    std::uint16_t status { 0 };
    std::string content_type;
    // The chunks so far of an answer that is withheld until it is complete.
    std::string withheld_answer;

    // Identifies the claim of a request that is not repeatable; empty for repeatable requests and after the claim was
    // lost to another request.
    std::string claim_id;
    // Whether an attempt, or another request with the same key, may have run. The outcome cannot be not_run after that.
    bool may_have_run { false };
};

} // namespace shedhill::router
