// SPDX-License-Identifier: BSD-2-Clause
// Determines after what delay a refused caller should retry. Slots become free every few milliseconds, so a caller that
// found none retries while it can still be served in time; for conditions that last longer, such as an overloaded
// router, the delay is longer.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

// What the delay of a refused caller depends on. The members after `left` apply to single refusal reasons.
struct refused_caller {
    refusal_reason reason { refusal_reason::none };
    milliseconds objective { 0 };
    // Time left until the caller's deadline.
    milliseconds left { 0 };
    // The router accepts no new callers; another router should serve the caller.
    bool is_router_overloaded { false };
    // Average delay, as a fraction of the objective, after which a caller that found no free slot retries.
    double early_fraction { 0 };
    // Time until the first endpoint of the pool ends its back-off, where all of them back off.
    milliseconds backoff { 0 };
    // Time until the quarantine of its request ends.
    milliseconds quarantine { 0 };
};

// Returns the delay. The random number `draw` spreads callers that were refused together.
milliseconds retry_delay(refused_caller const& refused, std::uint64_t draw);

// The delay where nothing is known of the caller.
constexpr milliseconds default_retry_delay { 700 };

} // namespace shedhill::dispatch
