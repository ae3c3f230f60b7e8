// SPDX-License-Identifier: BSD-2-Clause
// Converts a caller's HTTP request to the router's representation: the hash of the API key, the pool, and whether the
// request may be repeated.
#pragma once

#include "libraries/net/http.h"
#include "libraries/router/events.h"

namespace shedhill::edge {

// HTTP headers of requests and of answers to callers.
constexpr char const* not_repeatable_header = "x-shedhill-not-repeatable";
constexpr char const* idempotency_header = "idempotency-key";
constexpr char const* deadline_header = "x-shedhill-deadline-ms";
constexpr char const* outcome_header = "x-shedhill-outcome";
constexpr char const* reason_header = "x-shedhill-reason";

// Returns an error with the reason if the request is neither a valid chat completion nor a valid call of a plain
// service.
result<router::caller_request> parse_request(net::http_request const& received, request_number number);

} // namespace shedhill::edge
