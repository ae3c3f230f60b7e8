// SPDX-License-Identifier: BSD-2-Clause
// Aggregates the metrics of many routers, so that routers with unusual values are visible among hundreds.
#pragma once

#include "libraries/diagnosis/metrics_summary.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace shedhill::diagnosis {

struct named_summary {
    std::string router;
    metrics_summary summary;
};

// The distribution of one measure over the routers.
struct measure_distribution {
    std::string measure;
    double min { 0 };
    double median { 0 };
    // At least 95 percent of the routers have this value or a lower one.
    double percentile_95 { 0 };
    double max { 0 };
    // The router with the maximum.
    std::string max_router;
};

struct fleet_summary {
    std::size_t routers { 0 };
    std::size_t ready { 0 };
    // Maps each revision of the configuration to the number of routers that use it.
    std::map<std::uint64_t, std::size_t> revisions;
    // The sums over all routers, in descending order of the count.
    std::vector<refusal_count> refusals;
    std::vector<measure_distribution> measures;
};

fleet_summary summarize_fleet(std::vector<named_summary> const& routers);

} // namespace shedhill::diagnosis
