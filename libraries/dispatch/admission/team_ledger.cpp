// SPDX-License-Identifier: BSD-2-Clause
// Implements the sums of each team, own and reported, and the water-filling algorithm that computes the share.
#include "libraries/dispatch/admission/team_ledger.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr std::int64_t ms_per_second = 1000;
// After a start of all routers, the share begins with this part of the window: idle engines can accept about one
// second's worth of requests at once and still start them in time.
constexpr milliseconds initial_span { 1000 };

void add(team_usage& sum, team_usage const& usage, int sign)
{
    sum.requested += sign * usage.requested;
    sum.admitted += sign * usage.admitted;
}

// Returns the level up to which all demands can be met so that together they use the amount; unlimited if the amount
// meets all demands.
token_count fair_level(std::vector<token_count> demands, token_count amount)
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
    : requested(window)
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

void team_ledger::record_requested(team_key team, instant now, token_count amount)
{
    sums_of(team).requested.add(now, amount);
}

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

void team_ledger::replace_usage(report& source, team_usage const& usage)
{
    auto const before = std::exchange(source.teams[usage.team], usage);
    auto const replace_in = [&](usage_by_team& sums) {
        auto& sum = sums[usage.team];
        sum.team = usage.team;
        add(sum, before, -1);
        add(sum, usage, 1);
    };
    replace_in(m_others);
    if (source.origin == report_origin::own_domain)
        replace_in(m_domain_peers);
}

void team_ledger::apply_report(peer_report const& received, report_origin origin, instant now)
{
    m_observed_since = std::min(m_observed_since.value_or(now), now - received.observed_span);
    auto const source = received.source();
    if (received.scope == report_scope::whole)
        forget(source);
    auto& stored = m_reports.try_emplace(source, report { origin, {} }).first->second;
    for (auto const& usage : received.teams)
        replace_usage(stored, usage);
}

void team_ledger::forget(report_source const& source)
{
    auto const stored = m_reports.find(source);
    if (stored == m_reports.end())
        return;
    auto const teams = stored->second.teams;
    for (auto const& [team, usage] : teams)
        replace_usage(stored->second, { team, 0, 0 });
    m_reports.erase(stored);
}

void team_ledger::update_shares(token_count tokens_per_second, instant now)
{
    if (!m_observed_since)
        m_observed_since = now;
    auto const span = std::min(observed_span(now) + initial_span, m_window);
    auto all = m_others;
    for (auto const& usage : own_usage(now))
        add(all[usage.team], usage, 1);
    std::vector<token_count> demands;
    token_count admitted = 0;
    for (auto const& [team, usage] : all) {
        demands.push_back(usage.requested);
        admitted += usage.admitted;
    }
    m_even_level = fair_level(demands, admitted);
    m_share = tokens_per_second > 0 ? fair_level(std::move(demands), tokens_per_second * span.count() / ms_per_second)
                                    : std::numeric_limits<token_count>::max();
}

milliseconds team_ledger::observed_span(instant now) const
{
    return m_observed_since ? std::clamp(now - *m_observed_since, milliseconds(0), m_window) : milliseconds(0);
}

std::vector<team_usage> team_ledger::own_usage(instant now)
{
    std::vector<team_usage> usage;
    for (auto& [team, sums] : m_own) {
        team_usage const sum { team, sums.requested.sum(now), sums.admitted.sum(now) };
        if (sum.requested != 0 || sum.admitted != 0)
            usage.push_back(sum);
    }
    return usage;
}

std::vector<team_usage> team_ledger::domain_usage(instant now)
{
    auto sums = m_domain_peers;
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
