// SPDX-License-Identifier: BSD-2-Clause
// Outcomes of attempts and the reasons for refusals and retries. Each reason has its own counter in the metrics.
#pragma once

#include <cstdint>
#include <string_view>

namespace shedhill::wire {

// What is known about an attempt. An unknown outcome is never reported to a caller as not run.
enum class run_outcome : std::uint8_t {
    // The endpoint's process confirmed that the attempt did not run, or the request's body was never sent.
    not_run,
    // The complete answer was received.
    ran,
    // The body was sent, and whether the attempt ran cannot be determined.
    unknown,
};

// The reason why a request or an attempt was refused, retried or ended. The numeric values are part of the wire
// protocol: new reasons are added before count only.
enum class reason : std::uint8_t {
    none,
    // Refusals by the router, before anything was sent to an endpoint.
    unknown_key,
    bad_request,
    // An exception in this group: a withheld answer exceeds its size limit, after the attempt was sent.
    body_too_large,
    missing_idempotency_key,
    no_allowed_endpoint,
    team_queue_full,
    router_queue_full,
    router_not_ready,
    router_draining,
    deadline_in_queue,
    claim_taken,
    claim_unavailable,
    // Refusals by the endpoint's process; the attempt did not run.
    stale_revision,
    endpoint_draining,
    unknown_grant,
    engine_unreachable,
    engine_busy,
    // Reasons for the end of an attempt after its body was sent.
    endpoint_lost,
    engine_cut,
    chunk_gap,
    stalled,
    deadline_while_running,
    // The caller closed its connection; the request may have been waiting or running.
    caller_gone,
    // An attempt did not run, and the request is not sent again.
    retry_budget_spent,
    attempts_spent,
    count,
};

constexpr std::string_view name_of(reason why)
{
    switch (why) {
    case reason::none:
        return "none";
    case reason::unknown_key:
        return "unknown_key";
    case reason::bad_request:
        return "bad_request";
    case reason::body_too_large:
        return "body_too_large";
    case reason::missing_idempotency_key:
        return "missing_idempotency_key";
    case reason::no_allowed_endpoint:
        return "no_allowed_endpoint";
    case reason::team_queue_full:
        return "team_queue_full";
    case reason::router_queue_full:
        return "router_queue_full";
    case reason::router_not_ready:
        return "router_not_ready";
    case reason::router_draining:
        return "router_draining";
    case reason::deadline_in_queue:
        return "deadline_in_queue";
    case reason::claim_taken:
        return "claim_taken";
    case reason::claim_unavailable:
        return "claim_unavailable";
    case reason::stale_revision:
        return "stale_revision";
    case reason::endpoint_draining:
        return "endpoint_draining";
    case reason::unknown_grant:
        return "unknown_grant";
    case reason::engine_unreachable:
        return "engine_unreachable";
    case reason::engine_busy:
        return "engine_busy";
    case reason::endpoint_lost:
        return "endpoint_lost";
    case reason::engine_cut:
        return "engine_cut";
    case reason::chunk_gap:
        return "chunk_gap";
    case reason::stalled:
        return "stalled";
    case reason::deadline_while_running:
        return "deadline_while_running";
    case reason::caller_gone:
        return "caller_gone";
    case reason::retry_budget_spent:
        return "retry_budget_spent";
    case reason::attempts_spent:
        return "attempts_spent";
    case reason::count:
        break;
    }
    return "invalid";
}

constexpr std::string_view name_of(run_outcome outcome)
{
    switch (outcome) {
    case run_outcome::not_run:
        return "not-run";
    case run_outcome::ran:
        return "ran";
    case run_outcome::unknown:
        return "unknown";
    }
    return "invalid";
}

} // namespace shedhill::wire
