// SPDX-License-Identifier: BSD-2-Clause
// When a caller that is refused is told to come back. Places come free every few milliseconds, so one that found none
// comes back while it can still be served in time; what lasts longer, such as a router that steps aside, takes longer
// to come back from.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

struct refused_caller {
    refusal_reason reason { refusal_reason::none };
    milliseconds objective { 0 };
    // Of its deadline.
    milliseconds left { 0 };
    // The router takes no new callers: another one is to take it.
    bool is_router_aside { false };
    // The part of the objective after which a caller that found no place comes back, on average.
    double early_part { 0 };
    // Until the first endpoint of its pool has rested, where all rest.
    milliseconds rest { 0 };
    // Until its request's quarantine ends.
    milliseconds quarantine { 0 };
};

// The draw spreads callers that were refused together.
milliseconds return_time(refused_caller const& refused, std::uint64_t draw);

// Where nothing is known of the caller.
constexpr milliseconds least_return { 700 };

} // namespace shedhill::dispatch
