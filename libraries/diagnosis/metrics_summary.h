// SPDX-License-Identifier: BSD-2-Clause
// Summarizes a router's metrics text: whether it is ready, its configuration revision, the age of its configuration and
// endpoint list, the number of waiting requests, its refusals by reason, and the latency of first events.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::diagnosis {

struct refusal_count {
    std::string reason;
    std::uint64_t count { 0 };
};

struct latency_summary {
    std::string pool;
    std::uint64_t count { 0 };
    // The upper bounds of the histogram buckets that contain the median and the 95th percentile; 0 if the value exceeds
    // the last bound.
    double median_seconds { 0 };
    double percentile_95_seconds { 0 };
};

struct metrics_summary {
    bool is_ready { false };
    std::uint64_t revision { 0 };
    double configuration_age_ms { 0 };
    double endpoint_list_age_ms { 0 };
    std::uint64_t active { 0 };
    std::uint64_t waiting { 0 };
    std::uint64_t answers { 0 };
    // In descending order of the count, without reasons that never occurred.
    std::vector<refusal_count> refusals;
    // The time from a request's arrival to its first event, by pool.
    std::vector<latency_summary> first_events;
};

// Lines that cannot be parsed are skipped.
metrics_summary summarize_metrics(std::string_view text);

} // namespace shedhill::diagnosis
