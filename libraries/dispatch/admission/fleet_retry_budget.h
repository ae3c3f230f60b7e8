// SPDX-License-Identifier: BSD-2-Clause
// Computes this router's share of a retry budget of the whole fleet. Within each window, the budget bounds the arrivals
// at a pool beyond the first of each request. It needs no reports of other routers: each router uses a fraction of its
// own requests, and an equal share of the slack.
#pragma once

#include "libraries/dispatch/admission/sliding_sum.h"
#include "libraries/dispatch/types.h"

#include <unordered_map>

namespace shedhill::dispatch {

struct retry_bounds {
    // Retries allowed for each request within the window.
    double ratio { 0.1 };
    milliseconds window { 10000 };
    // Retries that the whole fleet may send in a window in addition to the ratio.
    double slack { 10 };
    // Number of routers that share the slack.
    std::size_t routers { 1 };
};

class fleet_retry_budget {
public:
    explicit fleet_retry_budget(retry_bounds bounds)
        : m_bounds(bounds)
    {
    }

    void set_routers(std::size_t routers) { m_bounds.routers = std::max<std::size_t>(routers, 1); }
    void record_request(pool_name const& pool, instant now);
    // Whether one more arrival is within the budget; if so, it is counted.
    bool spend(pool_name const& pool, instant now);

private:
    static constexpr std::size_t window_spans = 20;

    struct pool_window {
        explicit pool_window(milliseconds window)
            : requests(window)
            , retries(window)
        {
        }
        sliding_sum<window_spans> requests;
        sliding_sum<window_spans> retries;
    };

    pool_window& window_of(pool_name const& pool);

    retry_bounds m_bounds;
    std::unordered_map<pool_name, pool_window> m_windows;
};

} // namespace shedhill::dispatch
