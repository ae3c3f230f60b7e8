// SPDX-License-Identifier: BSD-2-Clause
// Draws the series of faults of a plan from its seed.
#include "tests/soak/fault_plan.h"

#include "base/random_generator.h"

#include <algorithm>

namespace shedhill::soak {

namespace {

constexpr std::size_t min_series = 3;
// A plan has at most this many series more than the minimum.
constexpr std::size_t series_spread = 5;
constexpr std::size_t max_series_length = 4;
constexpr std::int64_t min_gap_ms = 50;
constexpr std::size_t gap_spread_ms = 1500;
constexpr std::int64_t min_duration_ms = 100;
constexpr std::size_t duration_spread_ms = 2500;
// The seeds of the generators for fault kinds that were added later are the plan's seed plus these offsets, so that a
// seed still draws the same faults of the older kinds.
constexpr std::uint64_t extra_kinds_seed_offset = 1U << 30U;
constexpr std::uint64_t notices_seed_offset = 1U << 31U;
constexpr std::uint64_t harmful_requests_seed_offset = 3U << 30U;

milliseconds draw_time(random_generator& draw, std::int64_t minimum, std::size_t spread)
{
    return milliseconds(minimum + static_cast<std::int64_t>(draw.next_below(spread)));
}

void draw_series(fault_kind kind, milliseconds run_for, random_generator& draw, std::vector<planned_fault>& plan)
{
    auto const last_start = static_cast<std::size_t>(std::max<std::int64_t>(run_for.count() * 2 / 3, 1));
    auto at = draw_time(draw, 0, last_start);
    auto const repeats = 1 + draw.next_below(max_series_length);
    for (std::size_t repeat = 0; repeat < repeats && at < run_for; ++repeat) {
        plan.push_back({ at, kind, draw.next(), draw_time(draw, min_duration_ms, duration_spread_ms) });
        at += draw_time(draw, min_gap_ms, gap_spread_ms);
    }
}

} // namespace

std::string_view name_of(fault_kind kind)
{
    switch (kind) {
    case fault_kind::router_stop:
        return "router_stop";
    case fault_kind::router_reload:
        return "router_reload";
    case fault_kind::replica_drain:
        return "replica_drain";
    case fault_kind::configuration_change:
        return "configuration_change";
    case fault_kind::router_kill:
        return "router_kill";
    case fault_kind::router_pause:
        return "router_pause";
    case fault_kind::all_routers_kill:
        return "all_routers_kill";
    case fault_kind::replica_kill:
        return "replica_kill";
    case fault_kind::replica_pause:
        return "replica_pause";
    case fault_kind::store_pause:
        return "store_pause";
    case fault_kind::replica_busy:
        return "replica_busy";
    case fault_kind::replica_cuts:
        return "replica_cuts";
    case fault_kind::replica_mute:
        return "replica_mute";
    case fault_kind::replica_fails:
        return "replica_fails";
    case fault_kind::replica_link:
        return "replica_link";
    case fault_kind::store_link:
        return "store_link";
    case fault_kind::store_down:
        return "store_down";
    case fault_kind::store_forgets:
        return "store_forgets";
    case fault_kind::store_loses_answers:
        return "store_loses_answers";
    case fault_kind::entries_lapse:
        return "entries_lapse";
    case fault_kind::evacuation:
        return "evacuation";
    case fault_kind::connections_silent:
        return "connections_silent";
    case fault_kind::replica_rests:
        return "replica_rests";
    case fault_kind::replica_leaves:
        return "replica_leaves";
    case fault_kind::harmful_request:
        return "harmful_request";
    case fault_kind::count:
        break;
    }
    return "invalid";
}

std::vector<planned_fault> draw_plan(plan_options const& options)
{
    random_generator draw(options.seed);
    bool const is_planned_only = options.scope == plan_scope::planned_only;
    auto const kinds
        = static_cast<std::size_t>(is_planned_only ? fault_kind::configuration_change : fault_kind::entries_lapse) + 1;
    std::vector<planned_fault> plan;
    auto const series = min_series + draw.next_below(series_spread + 1);
    for (std::size_t index = 0; index < series; ++index)
        draw_series(static_cast<fault_kind>(draw.next_below(kinds)), options.run_for, draw, plan);
    random_generator extra_draw(options.seed + extra_kinds_seed_offset);
    if (extra_draw.next_below(2) == 0)
        draw_series(fault_kind::evacuation, options.run_for, extra_draw, plan);
    if (!is_planned_only && extra_draw.next_below(2) == 0)
        draw_series(fault_kind::connections_silent, options.run_for, extra_draw, plan);
    random_generator notices_draw(options.seed + notices_seed_offset);
    for (auto const kind : { fault_kind::replica_rests, fault_kind::replica_leaves }) {
        if (notices_draw.next_below(2) == 0)
            draw_series(kind, options.run_for, notices_draw, plan);
    }
    random_generator harmful_draw(options.seed + harmful_requests_seed_offset);
    if (!is_planned_only && harmful_draw.next_below(2) == 0)
        draw_series(fault_kind::harmful_request, options.run_for, harmful_draw, plan);
    std::ranges::stable_sort(plan, {}, &planned_fault::at);
    return plan;
}

} // namespace shedhill::soak
