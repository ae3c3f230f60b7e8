// SPDX-License-Identifier: BSD-2-Clause
// Times by reason.
#include "libraries/dispatch/admission/return_time.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr std::uint64_t return_spread_ms = 900;
// A caller comes back to the same router, overloaded or not, until the balancer has noticed that it has stepped aside.
constexpr milliseconds return_elsewhere { 2400 };
// Callers wait up to a third of the time that they have left.
constexpr std::int64_t waited_part = 4;
// An endpoint takes one request when its rest is over and all within about a second: who returns is spread over half of
// it.
constexpr std::uint64_t spread_after_rest_ms = 500;

milliseconds usual_time(refused_caller const& refused, std::uint64_t draw)
{
    bool const is_elsewhere = refused.reason == refusal_reason::router_overloaded && refused.is_router_aside;
    return (is_elsewhere ? return_elsewhere : least_return)
        + milliseconds(static_cast<std::int64_t>(draw % return_spread_ms));
}

// From half to one and a half of the part.
milliseconds early_time(refused_caller const& refused, std::uint64_t draw)
{
    constexpr std::uint64_t draws = 1000;
    auto const spread = 0.5 + static_cast<double>(draw % draws) / static_cast<double>(draws);
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(refused.objective.count()) * refused.early_part * spread));
}

} // namespace

milliseconds return_time(refused_caller const& refused, std::uint64_t draw)
{
    // Told whole, also where the caller has less time: before it nobody is served, and coming back is in vain.
    if (refused.reason == refusal_reason::endpoints_resting)
        return refused.rest + milliseconds(static_cast<std::int64_t>(draw % spread_after_rest_ms));
    if (refused.reason == refusal_reason::crashes_endpoints)
        return refused.quarantine;
    bool const is_early = refused.reason == refusal_reason::no_place && refused.early_part > 0;
    auto const wanted = is_early ? early_time(refused, draw) : usual_time(refused, draw);
    return std::max(std::min(wanted, refused.left / waited_part), milliseconds(1));
}

} // namespace shedhill::dispatch
