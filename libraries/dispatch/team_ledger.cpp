// SPDX-License-Identifier: BSD-2-Clause
// Charges by team, own and reported.
#include "libraries/dispatch/team_ledger.h"

namespace shedhill::dispatch {

void team_ledger::charge(team_name const& team, instant now, token_count amount)
{
    auto const [found, _] = m_own.try_emplace(team, m_window);
    found->second.add(now, amount);
}

token_count team_ledger::level(team_name const& team, instant now)
{
    token_count level = 0;
    if (auto const own = m_own.find(team); own != m_own.end())
        level += own->second.sum(now);
    if (auto const others = m_others.find(team); others != m_others.end())
        level += others->second;
    return level;
}

void team_ledger::take_report(vm_name const& peer, std::vector<team_usage> const& teams)
{
    forget_peer(peer);
    for (auto const& usage : teams)
        m_others[usage.team] += usage.admitted;
    m_reports[peer] = teams;
}

void team_ledger::forget_peer(vm_name const& peer)
{
    auto const reported = m_reports.find(peer);
    if (reported == m_reports.end())
        return;
    for (auto const& usage : reported->second)
        m_others[usage.team] -= usage.admitted;
    m_reports.erase(reported);
}

std::vector<team_usage> team_ledger::own_usage(instant now)
{
    std::vector<team_usage> usage;
    for (auto& [team, charged] : m_own) {
        if (auto const sum = charged.sum(now); sum != 0)
            usage.push_back({ team, sum });
    }
    return usage;
}

} // namespace shedhill::dispatch
