// SPDX-License-Identifier: BSD-2-Clause
// The HTTP status, the outcome and the body of refusals by their reason.
#pragma once

#include "libraries/router/effects.h"
#include "libraries/router/events.h"

namespace shedhill::router {

// Returns the outcome of a request that is refused before it was sent to an endpoint: not_run, or unknown if an earlier
// request with the same idempotency key may have run.
wire::run_outcome refused_outcome(caller_request const& refused, wire::reason why);

// Whether the reason is a lack of capacity. Such refusals carry a retry delay.
bool is_overload(wire::reason why);

// Makes the answer for a refused request, without a retry delay.
answer_whole make_refusal(request_number request, wire::run_outcome outcome, wire::reason why);

} // namespace shedhill::router
