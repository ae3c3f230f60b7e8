// SPDX-License-Identifier: BSD-2-Clause
// Counts requests and retries of each pool.
#include "libraries/dispatch/admission/fleet_retry_budget.h"

namespace shedhill::dispatch {

namespace {

// Fraction of the budget that is used. The rest is held in reserve, because the windows of different routers do not
// start at the same time.
constexpr double usable_fraction = 0.6;

} // namespace

fleet_retry_budget::pool_window& fleet_retry_budget::window_of(pool_name const& pool)
{
    return m_windows.try_emplace(pool, m_bounds.window).first->second;
}

void fleet_retry_budget::record_request(pool_name const& pool, instant now) { window_of(pool).requests.add(now, 1); }

bool fleet_retry_budget::spend(pool_name const& pool, instant now)
{
    auto& window = window_of(pool);
    auto const by_requests = m_bounds.ratio * static_cast<double>(window.requests.sum(now));
    auto const by_slack = m_bounds.slack / static_cast<double>(m_bounds.routers);
    if (static_cast<double>(window.retries.sum(now) + 1) > usable_fraction * (by_requests + by_slack))
        return false;
    window.retries.add(now, 1);
    return true;
}

} // namespace shedhill::dispatch
