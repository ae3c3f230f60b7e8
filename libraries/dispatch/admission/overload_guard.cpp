// SPDX-License-Identifier: BSD-2-Clause
// Implements the controller that adjusts the refused fraction to the remaining capacity.
#include "libraries/dispatch/admission/overload_guard.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr double newest_weight = 0.15;
// A router with at least this lag refuses all requests of teams past their share, and an increasing fraction of the
// others.
constexpr double acceptable_lag_ms = 35;
constexpr double excess_lag_refusing_all_ms = 200;
// A process that hardly ever waits is overloaded: incoming data then queues up where the router cannot observe it.
constexpr double overloaded_busy_fraction = 0.94;
constexpr double relaxed_busy_fraction = 0.85;
// Above overloaded_link_fraction, data that is queued for the link waits for more than a tenth of a second.
constexpr double newest_link_weight = 0.03;
constexpr double overloaded_link_fraction = 0.8;
constexpr double relaxed_link_fraction = 0.65;
constexpr double rise_per_tick = 0.03;
constexpr double fall_per_tick = 0.015;
constexpr double max_refusal_fraction = 0.9;
// Requests of teams past their share are refused first: for them, the refused fraction is multiplied by these weights.
constexpr double weight_past_share = 2;
constexpr double weight_ahead = 4;
// An overload that causes this fraction of refusals for this duration does not pass by itself.
constexpr double lasting_refusal_fraction = 0.25;
constexpr milliseconds min_overload_duration { 250 };
// A router declares itself overloaded only if at most one of four routers is then overloaded, itself included, and if
// the other routers have capacity: they are less busy than this on average.
constexpr std::size_t routers_per_overloaded = 4;
constexpr double max_others_busy_fraction = 0.7;
constexpr milliseconds first_overload_period { 6000 };
constexpr milliseconds max_overload_period { 24000 };
// An overload within this time after the end of the last one counts as its continuation.
constexpr milliseconds repeat_window { 8000 };

} // namespace

void overload_guard::record_tick(own_load const& load)
{
    m_lag_ms += newest_weight * (static_cast<double>(load.lag.count()) - m_lag_ms);
    m_busy_fraction += newest_weight * (load.busy_fraction - m_busy_fraction);
    m_link_fraction += newest_link_weight * (load.link_fraction - m_link_fraction);
    if (m_busy_fraction > overloaded_busy_fraction || m_link_fraction > overloaded_link_fraction)
        m_refusal_fraction = std::min(m_refusal_fraction + rise_per_tick, max_refusal_fraction);
    else if (m_busy_fraction < relaxed_busy_fraction && m_link_fraction < relaxed_link_fraction)
        m_refusal_fraction = std::max(m_refusal_fraction - fall_per_tick, 0.0);
}

bool overload_guard::is_behind() const
{
    return m_lag_ms >= acceptable_lag_ms || m_busy_fraction > overloaded_busy_fraction
        || m_link_fraction > overloaded_link_fraction;
}

double overload_guard::refusal_fraction(share_status status) const
{
    bool const is_late = m_lag_ms >= acceptable_lag_ms;
    if (status != share_status::within_share) {
        auto const weight = status == share_status::ahead ? weight_ahead : weight_past_share;
        return is_late ? 1 : std::min(m_refusal_fraction * weight, 1.0);
    }
    auto const by_lag = is_late ? (m_lag_ms - acceptable_lag_ms) / excess_lag_refusing_all_ms : 0;
    return std::min(std::max(by_lag, m_refusal_fraction), max_refusal_fraction);
}

bool overload_guard::refuses(share_status status, std::uint64_t draw) const
{
    constexpr std::uint64_t draws = 1000;
    return static_cast<double>(draw % draws) < refusal_fraction(status) * static_cast<double>(draws);
}

bool overload_guard::update_overload_state(fleet_load const& fleet, instant now)
{
    if (m_is_overloaded) {
        if (now < m_overloaded_until || m_refusal_fraction > 0)
            return false;
        m_is_overloaded = false;
        m_overloaded_until = now;
        return true;
    }
    if (m_refusal_fraction < lasting_refusal_fraction) {
        m_refusing_since = {};
        return false;
    }
    if (m_refusing_since == instant {})
        m_refusing_since = now;
    bool const is_allowed = (fleet.others_overloaded + 1) * routers_per_overloaded <= fleet.routers
        && fleet.others_busy_fraction < max_others_busy_fraction;
    if (now - m_refusing_since < min_overload_duration || !is_allowed)
        return false;
    bool const is_repeat = m_overloaded_until != instant {} && now - m_overloaded_until < repeat_window;
    m_overload_period = is_repeat ? std::min(m_overload_period * 2, max_overload_period) : first_overload_period;
    m_is_overloaded = true;
    m_overloaded_until = now + m_overload_period;
    m_refusing_since = {};
    return true;
}

} // namespace shedhill::dispatch
