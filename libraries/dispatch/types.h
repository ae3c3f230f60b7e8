// SPDX-License-Identifier: BSD-2-Clause
// What the dispatcher speaks of: routes, pools, teams and endpoints as one whole configuration and one list declare
// them, and a caller's request reduced to what a decision needs. No protocol's names appear here.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::dispatch {

// Tokens of prompts and answers. A token read counts once and a token made counts twice.
using token_count = std::int64_t;
constexpr token_count weight_of_a_token_made = 2;

// The tables of the store that a router follows.
enum class table_name { configuration, endpoints, routers, count };

// What may be done after an attempt of which it is not known whether it ran.
enum class repetition {
    // Nothing: the request runs at most once.
    never,
    // It may be sent again from its beginning while nothing of an answer was passed on.
    whole,
    // An answer that broke off may be taken up at another endpoint after its last event.
    resumable,
};

enum class answer_form { whole, stream };

struct weighted_pool {
    pool_name pool;
    std::uint32_t weight { 1 };

    bool operator==(weighted_pool const&) const = default;
};

struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    answer_form form { answer_form::whole };
    repetition repeat { repetition::never };
    // The longest the operator lets a request be held.
    milliseconds time_limit { 0 };
    // The time within which an answer, or a stream's first event, is worth the most.
    milliseconds objective { 0 };
    // The longest pause between two events of a stream that is still in time.
    milliseconds pause_objective { 0 };
    // 0 is the most urgent.
    std::uint32_t priority { 0 };
    // Endpoints to which one request may be sent.
    std::uint32_t most_attempts { 1 };
    bool is_public { false };
    std::vector<weighted_pool> pools;
    // The only regions in which its requests may be served; empty for any.
    std::vector<region_name> allowed_regions;

    bool operator==(route const&) const = default;
};

struct pool_settings {
    pool_name name;
    std::uint32_t most_connections { 0 };
    // Requests that a model engine runs at once; 0 where the pool is a plain service.
    std::uint32_t engine_slots { 0 };
    token_count engine_memory { 0 };
    std::uint32_t tokens_per_event { 1 };
    // Requests a second that one of its endpoints bears while it is cold; 0 where that is not bounded.
    double cold_per_second { 0 };
    // For how long an endpoint is cold after its start.
    milliseconds cold_time { 0 };

    [[nodiscard]] bool is_engine() const { return engine_slots > 0; }
};

struct team_settings {
    team_name name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority;
    // The only regions in which its requests may be served; empty for any.
    std::vector<region_name> allowed_regions;
};

// What a caller may send and how long it may take.
struct caller_limits {
    std::size_t header_bytes { 16384 };
    std::size_t body_bytes { 4U << 20U };
    milliseconds header_time { 3000 };
    milliseconds idle_time { 15000 };
    // About what all endpoints together produce; 0 where it is not told.
    token_count tokens_per_second { 0 };
};

// One declared configuration, whole. A later revision replaces it; an earlier one never does.
struct configuration {
    std::uint64_t revision { 0 };
    std::vector<route> routes;
    std::vector<pool_settings> pools;
    std::vector<team_settings> teams;
    bool has_teams { false };
    caller_limits limits;
};

// One incarnation of an endpoint, as the list shows it.
struct endpoint_entry {
    endpoint_name name;
    std::string address;
    pool_name pool;
    failure_domain domain;
    std::uint32_t slots { 1 };
    bool is_draining { false };
    // For how much longer it is cold, as it told when it wrote its row.
    milliseconds cold_left { 0 };
    // When it started, in milliseconds of its own clock; 0 where it does not tell. One that starts again under the same
    // name holds and knows nothing of before.
    std::uint64_t born { 0 };

    bool operator==(endpoint_entry const&) const = default;
};

// What an endpoint tells a router of itself beside an answer.
struct endpoint_notice {
    // It wants nothing from this router for so long; 0 where it asks for no rest.
    milliseconds rest { 0 };
    // It is about to end, whatever its row says.
    bool is_leaving { false };

    [[nodiscard]] bool is_empty() const { return rest.count() == 0 && !is_leaving; }
};

// A part of a prompt that other requests may share. Parts stand in the prompt's order; the last is the request's own.
struct prompt_part {
    std::uint64_t id { 0 };
    token_count tokens { 0 };
};

// What a request is expected to cost a model engine.
struct request_cost {
    std::vector<prompt_part> parts;
    token_count prompt { 0 };
    token_count made { 0 };

    [[nodiscard]] token_count weighted() const { return prompt + weight_of_a_token_made * made; }
};

enum class refusal_reason {
    none,
    no_configuration,
    no_route,
    unknown_key,
    bad_request,
    no_endpoint,
    domains_evacuated,
    no_allowed_region,
    team_over_share,
    no_place,
    deadline_passed,
    attempts_spent,
    retry_budget_spent,
    answer_unknown,
    answer_broken,
    time_limit,
    stopping,
    router_overloaded,
    prompt_too_large,
    endpoints_resting,
    memory_full,
    awaits_trial,
    crashes_endpoints,
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
    case refusal_reason::count:
        break;
    }
    return "invalid";
}

// How one attempt at an endpoint ended. Only the first two prove that the request did not run there.
enum class attempt_end {
    // No byte of it was written.
    not_sent,
    // The endpoint says that it has not run it and never will.
    not_run,
    // The endpoint is another incarnation than the one meant; it has not run it.
    wrong_endpoint,
    // The whole answer came and was passed on.
    complete,
    // The endpoint ran it and answers, whole, that it failed. The answer is kept back.
    failed,
    // The connection ended, or what came was no answer, before or in the middle of an answer.
    broken,
    // Nothing came in the time allowed.
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
    case attempt_end::failed:
        return "failed";
    case attempt_end::broken:
        return "broken";
    case attempt_end::silent:
        return "silent";
    }
    return "invalid";
}

} // namespace shedhill::dispatch
