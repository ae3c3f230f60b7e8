// SPDX-License-Identifier: BSD-2-Clause
// Extracts the summary from metric samples.
#include "libraries/diagnosis/metrics_summary.h"

#include "libraries/diagnosis/metrics_text.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>

namespace shedhill::diagnosis {

namespace {

constexpr double high_quantile = 0.95;

// The cumulative counts of one pool's histogram by the upper bound of the bucket.
using buckets = std::map<double, double>;

// Returns the upper bound of the bucket that contains the given quantile; 0 for the last, unbounded bucket.
double quantile_bound(buckets const& counted, double quantile)
{
    auto const rank = counted.rbegin()->second * quantile;
    auto const found = std::ranges::find_if(counted, [rank](auto const& bucket) { return bucket.second >= rank; });
    return std::isinf(found->first) ? 0 : found->first;
}

void apply_sample(metric_sample const& sample, metrics_summary& summary, std::map<std::string, buckets>& first_events)
{
    if (sample.name == "shedhill_ready")
        summary.is_ready = sample.value == 1;
    else if (sample.name == "shedhill_configuration_revision")
        summary.revision = to_count(sample.value);
    else if (sample.name == "shedhill_configuration_age_ms")
        summary.configuration_age_ms = sample.value;
    else if (sample.name == "shedhill_endpoint_list_age_ms")
        summary.endpoint_list_age_ms = sample.value;
    else if (sample.name == "shedhill_active_requests")
        summary.active = to_count(sample.value);
    else if (sample.name == "shedhill_waiting_requests")
        summary.waiting = to_count(sample.value);
    else if (sample.name == "shedhill_answers_total")
        summary.answers = to_count(sample.value);
    else if (sample.name == "shedhill_refusals_total" && sample.value > 0)
        summary.refusals.push_back({ label_of(sample.labels, "reason"), to_count(sample.value) });
    else if (sample.name == "shedhill_first_event_seconds_bucket")
        first_events[label_of(sample.labels, "pool")][std::strtod(label_of(sample.labels, "le").c_str(), nullptr)]
            = sample.value;
}

} // namespace

metrics_summary summarize_metrics(std::string_view text)
{
    metrics_summary summary;
    std::map<std::string, buckets> first_events;
    for_each_sample(text, [&](metric_sample const& sample) { apply_sample(sample, summary, first_events); });
    std::ranges::sort(summary.refusals, std::greater<> {}, &refusal_count::count);
    for (auto const& [pool, counted] : first_events) {
        summary.first_events.push_back({ pool, to_count(counted.rbegin()->second), quantile_bound(counted, 1.0 / 2),
            quantile_bound(counted, high_quantile) });
    }
    return summary;
}

} // namespace shedhill::diagnosis
