// SPDX-License-Identifier: BSD-2-Clause
// Turns a caller's HTTP request into what the router decides on: the team's key, the pool, and how it may be run.
#pragma once

#include "libraries/net/http.h"
#include "libraries/router/events.h"

namespace shedhill::edge {

constexpr char const* not_repeatable_header = "x-shedhill-not-repeatable";
constexpr char const* idempotency_header = "idempotency-key";
constexpr char const* deadline_header = "x-shedhill-deadline-ms";
constexpr char const* outcome_header = "x-shedhill-outcome";
constexpr char const* reason_header = "x-shedhill-reason";

// Refuses, with the reason, what is neither a chat completion nor a call of a plain service.
result<router::caller_request> parse_request(net::http_request const& received, request_number number);

} // namespace shedhill::edge
