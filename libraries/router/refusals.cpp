// SPDX-License-Identifier: BSD-2-Clause
// Maps the reasons of refusals to HTTP answers.
#include "libraries/router/refusals.h"

namespace shedhill::router {

namespace {

constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_forbidden = 403;
constexpr std::uint16_t status_conflict = 409;
constexpr std::uint16_t status_too_large = 413;
constexpr std::uint16_t status_too_many = 429;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;

std::uint16_t status_of(wire::reason why)
{
    switch (why) {
    case wire::reason::unknown_key:
        return status_unauthorized;
    case wire::reason::bad_request:
    case wire::reason::missing_idempotency_key:
        return status_bad_request;
    case wire::reason::body_too_large:
        return status_too_large;
    case wire::reason::no_allowed_endpoint:
        return status_forbidden;
    case wire::reason::team_queue_full:
        return status_too_many;
    case wire::reason::claim_taken:
        return status_conflict;
    case wire::reason::deadline_in_queue:
    case wire::reason::deadline_while_running:
        return status_gateway_timeout;
    case wire::reason::router_queue_full:
    case wire::reason::router_not_ready:
    case wire::reason::router_draining:
    case wire::reason::claim_unavailable:
    case wire::reason::retry_budget_spent:
    case wire::reason::attempts_spent:
        return status_unavailable;
    default:
        return status_bad_gateway;
    }
}

std::string refusal_body(wire::run_outcome outcome, wire::reason why)
{
    return R"({"error":{"type":")" + std::string(name_of(why)) + R"(","outcome":")" + std::string(name_of(outcome))
        + "\"}}\n";
}

} // namespace

wire::run_outcome refused_outcome(caller_request const& refused, wire::reason why)
{
    // Before the claim is won, nothing is known about earlier requests with the same key. They may have run.
    auto const is_known
        = refused.is_repeatable || why == wire::reason::missing_idempotency_key || why == wire::reason::unknown_key;
    return is_known ? wire::run_outcome::not_run : wire::run_outcome::unknown;
}

bool is_overload(wire::reason why)
{
    auto const status = status_of(why);
    return status == status_too_many || status == status_unavailable || status == status_gateway_timeout;
}

answer_whole make_refusal(request_number request, wire::run_outcome outcome, wire::reason why)
{
    return { request, status_of(why), "application/json", refusal_body(outcome, why), outcome, why, std::nullopt };
}

} // namespace shedhill::router
