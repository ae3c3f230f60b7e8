// SPDX-License-Identifier: BSD-2-Clause
// A controller of the refused part by the time that is left.
#include "libraries/dispatch/admission/overload_guard.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr double weight_of_the_newest = 0.15;
// A router that is so far behind takes nothing that is past a team's share, and less and less of the rest.
constexpr double bearable_lag_ms = 35;
constexpr double lag_that_refuses_all_ms = 200;
// A process that hardly ever waits has more to do than it can: what comes queues up where it is not seen.
constexpr double too_busy = 0.94;
constexpr double busy_enough = 0.85;
// What queues up before a link that is this full takes longer than a tenth of a second.
constexpr double weight_of_the_newest_link = 0.03;
constexpr double too_full = 0.8;
constexpr double full_enough = 0.65;
constexpr double rise_per_tick = 0.03;
constexpr double fall_per_tick = 0.015;
constexpr double most_refused_part = 0.9;
// Teams past their share go first.
constexpr double weight_past_share = 2;
constexpr double weight_ahead = 4;
// So much turned away for so long is an overload that does not pass by itself.
constexpr double much_refused = 0.25;
constexpr milliseconds lasting_overload { 250 };
constexpr std::size_t routers_for_each_aside = 4;
constexpr double others_have_time = 0.7;
constexpr milliseconds first_aside { 6000 };
constexpr milliseconds longest_aside { 24000 };
// An overload that comes again within this time after the return is the same one.
constexpr milliseconds soon_again { 8000 };

} // namespace

void overload_guard::note_tick(own_load const& seen)
{
    m_lag_ms += weight_of_the_newest * (static_cast<double>(seen.lag.count()) - m_lag_ms);
    m_busy_part += weight_of_the_newest * (seen.busy_part - m_busy_part);
    m_link_part += weight_of_the_newest_link * (seen.link_part - m_link_part);
    if (m_busy_part > too_busy || m_link_part > too_full)
        m_refused_part = std::min(m_refused_part + rise_per_tick, most_refused_part);
    else if (m_busy_part < busy_enough && m_link_part < full_enough)
        m_refused_part = std::max(m_refused_part - fall_per_tick, 0.0);
}

bool overload_guard::is_behind() const
{
    return m_lag_ms >= bearable_lag_ms || m_busy_part > too_busy || m_link_part > too_full;
}

double overload_guard::refused_part(team_standing standing) const
{
    bool const is_late = m_lag_ms >= bearable_lag_ms;
    if (standing != team_standing::within_share) {
        auto const weight = standing == team_standing::ahead ? weight_ahead : weight_past_share;
        return is_late ? 1 : std::min(m_refused_part * weight, 1.0);
    }
    auto const by_lag = is_late ? (m_lag_ms - bearable_lag_ms) / lag_that_refuses_all_ms : 0;
    return std::min(std::max(by_lag, m_refused_part), most_refused_part);
}

bool overload_guard::refuses(team_standing standing, std::uint64_t draw) const
{
    constexpr std::uint64_t draws = 1000;
    return static_cast<double>(draw % draws) < refused_part(standing) * static_cast<double>(draws);
}

bool overload_guard::update_aside(fleet_load const& fleet, instant now)
{
    if (m_is_aside) {
        if (now < m_aside_until || m_refused_part > 0)
            return false;
        m_is_aside = false;
        m_aside_until = now;
        return true;
    }
    if (m_refused_part < much_refused) {
        m_overloaded_since = {};
        return false;
    }
    if (m_overloaded_since == instant {})
        m_overloaded_since = now;
    bool const is_allowed = (fleet.others_aside + 1) * routers_for_each_aside <= fleet.routers
        && fleet.others_busy_part < others_have_time;
    if (now - m_overloaded_since < lasting_overload || !is_allowed)
        return false;
    bool const is_same = m_aside_until != instant {} && now - m_aside_until < soon_again;
    m_aside_time = is_same ? std::min(m_aside_time * 2, longest_aside) : first_aside;
    m_is_aside = true;
    m_aside_until = now + m_aside_time;
    m_overloaded_since = {};
    return true;
}

} // namespace shedhill::dispatch
