// SPDX-License-Identifier: BSD-2-Clause
// Implements the delay for each refusal reason.
#include "libraries/dispatch/admission/retry_delay.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The usual delay is extended by a random time below this value.
constexpr std::uint64_t retry_spread_ms = 900;
// A caller returns to the same router, overloaded or not, until the load balancer has noticed that the router is
// overloaded.
constexpr milliseconds other_router_delay { 2400 };
// Callers wait for up to a third of the time that they have left, so the delay is limited to a quarter of it.
constexpr std::int64_t time_left_divisor = 4;
// An endpoint accepts one request when its back-off ends and all within about a second; retries are spread over half of
// that time.
constexpr std::uint64_t spread_after_backoff_ms = 500;

milliseconds usual_delay(refused_caller const& refused, std::uint64_t draw)
{
    bool const changes_router = refused.reason == refusal_reason::router_overloaded && refused.is_router_overloaded;
    return (changes_router ? other_router_delay : default_retry_delay)
        + milliseconds(static_cast<std::int64_t>(draw % retry_spread_ms));
}

// Returns half to one and a half times the early delay.
milliseconds early_delay(refused_caller const& refused, std::uint64_t draw)
{
    constexpr std::uint64_t draws = 1000;
    auto const spread = 0.5 + static_cast<double>(draw % draws) / static_cast<double>(draws);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(refused.objective.count()) * refused.early_fraction * spread));
}

} // namespace

milliseconds retry_delay(refused_caller const& refused, std::uint64_t draw)
{
    // Returned in full even if the caller has less time left: before the back-off ends nobody is served, and an earlier
    // retry is in vain.
    if (refused.reason == refusal_reason::endpoints_resting)
        return refused.backoff + milliseconds(static_cast<std::int64_t>(draw % spread_after_backoff_ms));
    if (refused.reason == refusal_reason::crashes_endpoints)
        return refused.quarantine;
    bool const is_early = refused.reason == refusal_reason::no_place && refused.early_fraction > 0;
    auto const delay = is_early ? early_delay(refused, draw) : usual_delay(refused, draw);
    return std::max(std::min(delay, refused.left / time_left_divisor), milliseconds(1));
}

} // namespace shedhill::dispatch
