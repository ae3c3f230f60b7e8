// SPDX-License-Identifier: BSD-2-Clause
// Data types of the dispatcher: routes, pools, teams and endpoints as the configuration and the endpoint list declare
// them, and the properties of a caller's request that decisions depend on. They are independent of any protocol.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::dispatch {

// Counts tokens of prompts and answers. In weighted counts, a prompt token counts once and a generated token twice.
using token_count = std::int64_t;
constexpr token_count generated_token_weight = 2;

// The tables of the store. A router watches those before watched_count, and reads the others when it starts.
enum class table_name { configuration, endpoints, routers, watched_count, streams = watched_count };

// Says whether a request may be sent again after an attempt that may have run.
enum class retry_mode {
    // The request runs at most once, so it is not sent again.
    never,
    // The request may be sent again from its beginning until a part of an answer was forwarded to the caller.
    whole,
    // Another endpoint may continue a broken answer after its last event.
    resumable,
};

enum class answer_form { whole, stream };

// A pool that serves a route, and its weight in the route's traffic split.
struct weighted_pool {
    pool_name pool;
    std::uint32_t weight { 1 };

    bool operator==(weighted_pool const&) const = default;
};

// Describes how the requests of one host and path prefix are served.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    answer_form form { answer_form::whole };
    retry_mode retry { retry_mode::never };
    // The operator's bound on the time from a request's arrival to the end of its answer; 0 means the default deadline.
    milliseconds time_limit { 0 };
    // The latency objective of an answer, or of the first event of a stream.
    milliseconds objective { 0 };
    // The latency objective between two events of a stream.
    milliseconds pause_objective { 0 };
    // 0 is the highest priority.
    std::uint32_t priority { 0 };
    // The number of endpoints that one request may reach.
    std::uint32_t max_attempts { 1 };
    bool is_public { false };
    std::vector<weighted_pool> pools;
    // The regions in which requests of the route may be served; an empty list allows every region.
    std::vector<region_name> allowed_regions;

    bool operator==(route const&) const = default;
};

// Describes the endpoints that run one model or plain service.
struct pool_settings {
    pool_name name;
    std::uint32_t max_connections { 0 };
    // The number of requests that a model engine runs concurrently; 0 means that the pool is a plain service.
    std::uint32_t engine_slots { 0 };
    // The KV cache capacity of one engine in tokens; 0 means unknown.
    token_count engine_kv_capacity { 0 };
    // The number of generated tokens that one event of an engine's answer contains.
    std::uint32_t tokens_per_event { 1 };
    // The request rate that one endpoint of the pool sustains while it is cold; 0 means no bound.
    double cold_requests_per_second { 0 };
    // The duration for which an endpoint is cold after its start.
    milliseconds cold_time { 0 };

    [[nodiscard]] bool is_engine() const { return engine_slots > 0; }
};

// A team of callers, which the API keys in its callers' requests identify.
struct team_settings {
    team_name name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;
    // The regions in which requests of the team may be served; an empty list allows every region.
    std::vector<region_name> allowed_regions;
};

// Limits on the size of a caller's request and on the time that the caller may take to send it.
struct caller_limits {
    std::size_t max_header_bytes { 16384 };
    std::size_t max_body_bytes { 4U << 20U };
    milliseconds header_timeout { 3000 };
    milliseconds idle_timeout { 15000 };
    // The approximate throughput of all endpoints together, in weighted tokens; 0 means unknown.
    token_count tokens_per_second { 0 };
};

// One complete declared configuration. Only a later revision replaces it.
struct configuration {
    std::uint64_t revision { 0 };
    std::vector<route> routes;
    std::vector<pool_settings> pools;
    std::vector<team_settings> teams;
    bool has_teams { false };
    caller_limits limits;
};

// One instance of an endpoint, as the endpoint list shows it.
struct endpoint_entry {
    endpoint_name name;
    std::string address;
    pool_name pool;
    failure_domain domain;
    std::uint32_t slots { 1 };
    bool is_draining { false };
    // The remaining time for which the endpoint is cold, as it reported when it wrote its row.
    milliseconds cold_time_left { 0 };
    // The endpoint's start time in milliseconds of its own clock; 0 means unknown. The start time tells the instances
    // of one endpoint name apart: a new instance has none of the requests and caches of the earlier one.
    std::uint64_t started_at_ms { 0 };
    // The version of the software that this instance runs.
    std::string version {};

    bool operator==(endpoint_entry const&) const = default;
};

// A caller resumes a stream that broke off in an earlier request, which another router may have served.
struct stream_resumption {
    // The caller's identifier of the request that brought the first event of the stream; empty if the caller names
    // none.
    std::string first_request;
};

// What the headers of an answer say about the state of its endpoint.
struct endpoint_notice {
    // The duration for which the endpoint wants no requests from this router; 0 means that it asked for no back-off.
    milliseconds backoff { 0 };
    // The endpoint is about to end, whatever its row in the store says.
    bool is_leaving { false };

    [[nodiscard]] bool is_empty() const { return backoff.count() == 0 && !is_leaving; }
};

// A part of a prompt that other requests may share. A request lists its parts in prompt order; the last part belongs
// to that request alone.
struct prompt_part {
    std::uint64_t id { 0 };
    token_count tokens { 0 };
};

// The expected cost of a request at a model engine, in tokens.
struct request_cost {
    std::vector<prompt_part> parts;
    token_count prompt { 0 };
    token_count generated { 0 };

    [[nodiscard]] token_count weighted() const { return prompt + generated_token_weight * generated; }
};

// Why the router refuses a request, ends its answer early or does not retry it. Callers, the log and the metrics
// receive the names.
enum class refusal_reason {
    none,
    no_configuration,
    no_route,
    unknown_key,
    bad_request,
    no_endpoint,
    domains_evacuated,
    no_allowed_region,
    // No available endpoint runs the software version that began the stream.
    no_matching_version,
    // The router cannot tell which software version began the stream that the caller resumes.
    unknown_version,
    team_over_share,
    // No endpoint had free capacity, or could start the request in time, within the request's maximum wait.
    no_place,
    deadline_passed,
    attempts_spent,
    retry_budget_spent,
    // The request may have run and may not be sent again.
    answer_unknown,
    // A part of the answer was forwarded, and no other endpoint can continue it.
    answer_broken,
    // The route's time limit has passed; for deadline_passed, the caller's own deadline was earlier.
    time_limit,
    stopping,
    router_overloaded,
    prompt_too_large,
    // All endpoints that may serve the request back off.
    endpoints_resting,
    // The router has buffered as many bytes of requests and answers as its limit allows.
    memory_full,
    // The request is suspected of crashing endpoints, and another attempt of it is not resolved yet.
    awaits_trial,
    // The request is quarantined because it is suspected of crashing endpoints.
    crashes_endpoints,
    // The same request has failed at several endpoints and was answered by none, so another attempt is futile.
    fails_everywhere,
    count,
};

constexpr std::string_view name_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::no_configuration:
        return "no_configuration";
    case refusal_reason::no_route:
        return "no_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::domains_evacuated:
        return "domains_evacuated";
    case refusal_reason::no_allowed_region:
        return "no_allowed_region";
    case refusal_reason::no_matching_version:
        return "no_matching_version";
    case refusal_reason::unknown_version:
        return "unknown_version";
    case refusal_reason::team_over_share:
        return "team_over_share";
    case refusal_reason::no_place:
        return "no_place";
    case refusal_reason::deadline_passed:
        return "deadline_passed";
    case refusal_reason::attempts_spent:
        return "attempts_spent";
    case refusal_reason::retry_budget_spent:
        return "retry_budget_spent";
    case refusal_reason::answer_unknown:
        return "answer_unknown";
    case refusal_reason::answer_broken:
        return "answer_broken";
    case refusal_reason::time_limit:
        return "time_limit";
    case refusal_reason::stopping:
        return "stopping";
    case refusal_reason::router_overloaded:
        return "router_overloaded";
    case refusal_reason::prompt_too_large:
        return "prompt_too_large";
    case refusal_reason::endpoints_resting:
        return "endpoints_resting";
    case refusal_reason::memory_full:
        return "memory_full";
    case refusal_reason::awaits_trial:
        return "awaits_trial";
    case refusal_reason::crashes_endpoints:
        return "crashes_endpoints";
    case refusal_reason::fails_everywhere:
        return "fails_everywhere";
    case refusal_reason::count:
        break;
    }
    return "invalid";
}

// How one attempt at an endpoint ended. Only not_sent, not_run and wrong_endpoint prove that the request did not run.
enum class attempt_end {
    // The router wrote no byte of the request.
    not_sent,
    // The endpoint answered that it has not run the request and never will.
    not_run,
    // Another instance than the addressed one answered; it has not run the request.
    wrong_endpoint,
    // The whole answer was received and forwarded.
    complete,
    // An answer with neither a length nor chunks was received and forwarded until its connection was closed. A server
    // that
    // ends in the middle of an answer closes its connections too, so this does not prove that the request was answered.
    closed,
    // The endpoint ran the request and answered completely that it failed. The router withholds this answer.
    failed,
    // The connection ended, or the endpoint sent invalid data, before or within the answer.
    broken,
    // The router received nothing within the silence limit.
    silent,
};

constexpr std::string_view name_of(attempt_end end)
{
    switch (end) {
    case attempt_end::not_sent:
        return "not_sent";
    case attempt_end::not_run:
        return "not_run";
    case attempt_end::wrong_endpoint:
        return "wrong_endpoint";
    case attempt_end::complete:
        return "complete";
    case attempt_end::closed:
        return "closed";
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    }
    return "invalid";
}

// Returns whether the caller has received an answer, which ends its request.
constexpr bool is_answer(attempt_end end) { return end == attempt_end::complete || end == attempt_end::closed; }

} // namespace shedhill::dispatch
