// SPDX-License-Identifier: BSD-2-Clause
// Combines own charges with readings and chooses the accounts to report.
#include "libraries/ledger/service_ledger.h"

#include <algorithm>
#include <cstdlib>

namespace shedhill::ledger {

void service_ledger::charge(account_id account, service_units amount) { m_accounts[account].charged += amount; }

void service_ledger::record_active(account_id account, instant now) { m_accounts[account].last_active_at = now; }

bool service_ledger::is_idle(account_id account, milliseconds time, instant now) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() || !found->second.last_active_at || now - *found->second.last_active_at > time;
}

void service_ledger::activate(account_id account, service_units floor) { m_accounts[account].floor = floor; }

void service_ledger::apply_reading(account_id account, service_units others, instant now)
{
    auto& state = m_accounts[account];
    state.others = others;
    state.has_reading = true;
    state.reading_received_at = now;
    state.floor.reset();
}

account_level service_ledger::level(account_id account, std::uint32_t weight, instant now) const
{
    auto const found = m_accounts.find(account);
    if (found == m_accounts.end())
        return {};
    auto const& state = found->second;
    auto const age = state.has_reading ? now - state.reading_received_at : milliseconds(0);
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
    std::vector<account_id> const& in_use, instant reading_due_before, std::size_t max_count) const
{
    struct candidate {
        account_id account;
        std::int64_t unreported;
    };
    std::vector<candidate> due;
    for (auto const account : in_use) {
        auto const found = m_accounts.find(account);
        if (found == m_accounts.end()) {
            due.push_back({ account, 0 });
            continue;
        }
        auto const& state = found->second;
        auto const unreported = std::abs((state.charged - state.reported).value());
        auto const is_reading_due = !state.has_reading || state.reading_received_at < reading_due_before;
        if (unreported != 0 || is_reading_due || state.floor)
            due.push_back({ account, unreported });
    }
    auto const count = std::min(max_count, due.size());
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
        [](auto const& left, auto const& right) {
            return left.unreported != right.unreported ? left.unreported > right.unreported
                                                       : left.account < right.account;
        });
    std::vector<account_id> chosen;
    chosen.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        chosen.push_back(due[index].account);
    return chosen;
}

void service_ledger::add_to_report(account_id account, bool is_new_aggregator, wire::service_report& report)
{
    auto& state = m_accounts[account];
    if (is_new_aggregator && state.has_reading)
        report.rebuild.push_back({ account, state.others + state.charged });
    if (state.floor)
        report.activations.push_back({ account, *state.floor });
    report.values.push_back({ account, state.charged });
    state.reported = state.charged;
}

service_units service_ledger::total(account_state const& account)
{
    auto const known_total = account.others + account.charged;
    return account.floor ? std::max(known_total, *account.floor) : known_total;
}

} // namespace shedhill::ledger
