// SPDX-License-Identifier: BSD-2-Clause
// Sums by team, own and reported, and the water filling that gives the share.
#include "libraries/dispatch/admission/team_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr std::int64_t ms_per_second = 1000;
// After a start of all routers the share begins with so much of the window: engines that were idle can take about a
// second's worth at once and still begin in time.
constexpr milliseconds head_start { 1000 };

void add(team_usage& sum, team_usage const& usage, int sign)
{
    sum.requested += sign * usage.requested;
    sum.admitted += sign * usage.admitted;
}

// The level up to which all demands are filled so that together they use up the amount.
token_count fill(std::vector<token_count> demands, token_count amount)
{
    std::ranges::sort(demands);
    auto left = static_cast<token_count>(demands.size());
    for (auto const demand : demands) {
        if (demand * left >= amount)
            return amount / left;
        amount -= demand;
        --left;
    }
    return std::numeric_limits<token_count>::max();
}

} // namespace

team_ledger::own_sums::own_sums(milliseconds window)
    : asked(window)
    , admitted(window)
{
}

team_ledger::team_ledger(milliseconds window)
    : m_window(window)
    , m_share(std::numeric_limits<token_count>::max())
    , m_even_level(std::numeric_limits<token_count>::max())
{
}

team_ledger::own_sums& team_ledger::sums_of(team_key team) { return m_own.try_emplace(team, m_window).first->second; }

void team_ledger::note_asked(team_key team, instant now, token_count amount) { sums_of(team).asked.add(now, amount); }

void team_ledger::charge(team_key team, instant now, token_count amount) { sums_of(team).admitted.add(now, amount); }

token_count team_ledger::level(team_key team, instant now)
{
    token_count level = 0;
    if (auto const own = m_own.find(team); own != m_own.end())
        level += own->second.admitted.sum(now);
    if (auto const others = m_others.find(team); others != m_others.end())
        level += others->second.admitted;
    return level;
}

void team_ledger::add_told(report& told, team_usage const& usage)
{
    auto const before = std::exchange(told.teams[usage.team], usage);
    auto const replace_in = [&](usage_by_team& sums) {
        auto& sum = sums[usage.team];
        sum.team = usage.team;
        add(sum, before, -1);
        add(sum, usage, 1);
    };
    replace_in(m_others);
    if (told.place == source_place::own_domain)
        replace_in(m_neighbours);
}

void team_ledger::take_report(peer_report const& told, source_place place, instant now)
{
    m_known_since = std::min(m_known_since.value_or(now), now - told.observed_span);
    auto const source = told.source();
    if (told.scope == report_scope::whole)
        forget(source);
    auto& known = m_reports.try_emplace(source, report { place, {} }).first->second;
    for (auto const& usage : told.teams)
        add_told(known, usage);
}

void team_ledger::forget(report_source const& source)
{
    auto const known = m_reports.find(source);
    if (known == m_reports.end())
        return;
    auto const teams = known->second.teams;
    for (auto const& [team, usage] : teams)
        add_told(known->second, { team, 0, 0 });
    m_reports.erase(known);
}

void team_ledger::update_shares(token_count tokens_per_second, instant now)
{
    if (!m_known_since)
        m_known_since = now;
    auto const span = std::min(observed_span(now) + head_start, m_window);
    auto all = m_others;
    for (auto const& usage : own_usage(now))
        add(all[usage.team], usage, 1);
    std::vector<token_count> demands;
    token_count admitted = 0;
    for (auto const& [team, usage] : all) {
        demands.push_back(usage.requested);
        admitted += usage.admitted;
    }
    m_even_level = fill(demands, admitted);
    m_share = tokens_per_second > 0 ? fill(std::move(demands), tokens_per_second * span.count() / ms_per_second)
                                    : std::numeric_limits<token_count>::max();
}

milliseconds team_ledger::observed_span(instant now) const
{
    return m_known_since ? std::clamp(now - *m_known_since, milliseconds(0), m_window) : milliseconds(0);
}

std::vector<team_usage> team_ledger::own_usage(instant now)
{
    std::vector<team_usage> usage;
    for (auto& [team, sums] : m_own) {
        team_usage const told { team, sums.asked.sum(now), sums.admitted.sum(now) };
        if (told.requested != 0 || told.admitted != 0)
            usage.push_back(told);
    }
    return usage;
}

std::vector<team_usage> team_ledger::domain_usage(instant now)
{
    auto sums = m_neighbours;
    for (auto const& own : own_usage(now)) {
        auto& sum = sums[own.team];
        sum.team = own.team;
        add(sum, own, 1);
    }
    std::vector<team_usage> usage;
    for (auto const& [team, sum] : sums) {
        if (sum.requested != 0 || sum.admitted != 0)
            usage.push_back(sum);
    }
    return usage;
}

} // namespace shedhill::dispatch
