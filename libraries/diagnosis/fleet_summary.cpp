// SPDX-License-Identifier: BSD-2-Clause
// Computes sums and order statistics over the routers of a fleet.
#include "libraries/diagnosis/fleet_summary.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace shedhill::diagnosis {

namespace {

constexpr std::size_t hundred = 100;
constexpr std::size_t median_percent = 50;
constexpr std::size_t high_percent = 95;

using measure_function = std::function<double(metrics_summary const&)>;

// Returns the nearest-rank percentile of a non-empty, sorted list.
double percentile_of(std::vector<std::pair<double, std::string>> const& sorted, std::size_t percent)
{
    auto const rank = (sorted.size() * percent + hundred - 1) / hundred;
    return sorted[std::max<std::size_t>(rank, 1) - 1].first;
}

measure_distribution distribution_of(
    std::string name, std::vector<named_summary> const& routers, measure_function const& measure)
{
    std::vector<std::pair<double, std::string>> sorted;
    sorted.reserve(routers.size());
    for (auto const& [router, summary] : routers)
        sorted.emplace_back(measure(summary), router);
    std::ranges::sort(sorted);
    return { std::move(name), sorted.front().first, percentile_of(sorted, median_percent),
        percentile_of(sorted, high_percent), sorted.back().first, sorted.back().second };
}

std::vector<refusal_count> sum_refusals(std::vector<named_summary> const& routers)
{
    std::map<std::string, std::uint64_t> sums;
    for (auto const& [router, summary] : routers) {
        for (auto const& [reason, count] : summary.refusals)
            sums[reason] += count;
    }
    std::vector<refusal_count> refusals;
    refusals.reserve(sums.size());
    for (auto const& [reason, count] : sums)
        refusals.push_back({ reason, count });
    std::ranges::stable_sort(refusals, std::greater<> {}, &refusal_count::count);
    return refusals;
}

} // namespace

fleet_summary summarize_fleet(std::vector<named_summary> const& routers)
{
    fleet_summary fleet;
    fleet.routers = routers.size();
    if (routers.empty())
        return fleet;
    for (auto const& [router, summary] : routers) {
        fleet.ready += summary.is_ready ? 1 : 0;
        ++fleet.revisions[summary.revision];
    }
    fleet.refusals = sum_refusals(routers);
    auto const add = [&](char const* name, measure_function const& measure) {
        fleet.measures.push_back(distribution_of(name, routers, measure));
    };
    add("configuration_age_ms", [](metrics_summary const& summary) { return summary.configuration_age_ms; });
    add("endpoint_list_age_ms", [](metrics_summary const& summary) { return summary.endpoint_list_age_ms; });
    add("active", [](metrics_summary const& summary) { return static_cast<double>(summary.active); });
    add("waiting", [](metrics_summary const& summary) { return static_cast<double>(summary.waiting); });
    add("answers", [](metrics_summary const& summary) { return static_cast<double>(summary.answers); });
    return fleet;
}

} // namespace shedhill::diagnosis
