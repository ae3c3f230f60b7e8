// SPDX-License-Identifier: BSD-2-Clause
// How a caller is told that there is no answer: status, outcome and body for each reason.
#pragma once

#include "libraries/router/effects.h"
#include "libraries/router/events.h"

namespace shedhill::router {

// What can be said of a request that is refused before anything was sent.
wire::run_outcome refused_outcome(caller_request const& refused, wire::reason why);

// Refusals for want of capacity, which say when to come back.
bool is_overload(wire::reason why);

answer_whole make_refusal(request_number request, wire::run_outcome outcome, wire::reason why);

} // namespace shedhill::router
