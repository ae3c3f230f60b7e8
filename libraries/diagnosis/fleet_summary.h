// SPDX-License-Identifier: BSD-2-Clause
// Many routers' metrics together: hundreds of lines, one for each router, show nobody who stands out.
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

// How one measure spreads over the routers.
struct measure_spread {
    std::string measure;
    double least { 0 };
    double middle { 0 };
    // 95 in 100 routers are at this or below.
    double most_below { 0 };
    double greatest { 0 };
    // The router with the greatest.
    std::string greatest_at;
};

struct fleet_summary {
    std::size_t routers { 0 };
    std::size_t ready { 0 };
    // How many routers go by each revision of the configuration.
    std::map<std::uint64_t, std::size_t> revisions;
    // Of all routers, most first.
    std::vector<refusal_count> refusals;
    std::vector<measure_spread> measures;
};

fleet_summary summarize_fleet(std::vector<named_summary> const& routers);

} // namespace shedhill::diagnosis
