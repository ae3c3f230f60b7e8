// SPDX-License-Identifier: BSD-2-Clause
// Own charges, readings, and the choice of what to report next.
#include "libraries/ledger/service_ledger.h"

#include <algorithm>
#include <cstdlib>

namespace shedhill::ledger {

void service_ledger::charge(account_id account, service_units amount) { m_accounts[account].charged += amount; }

void service_ledger::note_active(account_id account, instant now) { m_accounts[account].active_at = now; }

bool service_ledger::is_idle(account_id account, milliseconds time, instant now) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() || !found->second.active_at || now - *found->second.active_at > time;
}

void service_ledger::activate(account_id account, service_units floor) { m_accounts[account].floor = floor; }

void service_ledger::read(account_id account, service_units others, instant now)
{
    auto& state = m_accounts[account];
    state.others = others;
    state.has_reading = true;
    state.read_at = now;
    state.floor.reset();
}

account_level service_ledger::level(account_id account, std::uint32_t weight, instant now) const
{
    auto const found = m_accounts.find(account);
    if (found == m_accounts.end())
        return {};
    auto const& state = found->second;
    auto const age = state.has_reading ? now - state.read_at : milliseconds(0);
    return { total(state).value() / static_cast<std::int64_t>(std::max(weight, 1U)), age };
}

service_units service_ledger::total(account_id account) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() ? service_units() : total(found->second);
}

service_units service_ledger::charged(account_id account) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() ? service_units() : found->second.charged;
}

std::vector<account_id> service_ledger::choose_due(
    std::vector<account_id> const& in_use, instant read_before, std::size_t most) const
{
    struct candidate {
        account_id account;
        std::int64_t moved;
    };
    std::vector<candidate> due;
    for (auto const account : in_use) {
        auto const found = m_accounts.find(account);
        if (found == m_accounts.end()) {
            due.push_back({ account, 0 });
            continue;
        }
        auto const& state = found->second;
        auto const moved = std::abs((state.charged - state.reported).value());
        auto const is_unread = !state.has_reading || state.read_at < read_before;
        if (moved != 0 || is_unread || state.floor)
            due.push_back({ account, moved });
    }
    auto const taken = std::min(most, due.size());
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(taken), due.end(),
        [](auto const& left, auto const& right) {
            return left.moved != right.moved ? left.moved > right.moved : left.account < right.account;
        });
    std::vector<account_id> chosen;
    chosen.reserve(taken);
    for (std::size_t index = 0; index < taken; ++index)
        chosen.push_back(due[index].account);
    return chosen;
}

void service_ledger::add_to_report(account_id account, bool is_new_home, wire::service_report& report)
{
    auto& state = m_accounts[account];
    if (is_new_home && state.has_reading)
        report.rebuild.push_back({ account, state.others + state.charged });
    if (state.floor)
        report.activations.push_back({ account, *state.floor });
    report.values.push_back({ account, state.charged });
    state.reported = state.charged;
}

service_units service_ledger::total(account_state const& account)
{
    auto const known = account.others + account.charged;
    return account.floor ? std::max(known, *account.floor) : known;
}

} // namespace shedhill::ledger
