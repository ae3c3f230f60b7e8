// SPDX-License-Identifier: BSD-2-Clause
// Sums of service by cumulative contributions.
#include "libraries/ledger/service_home.h"

#include <algorithm>

namespace shedhill::ledger {

wire::service_reading service_home::accept(vm_name const& reporter, wire::service_report const& report, instant now)
{
    // Remembered sums are taken in before the values, since they speak of the time before this report.
    for (auto const& [id, seen] : report.rebuild) {
        auto& account = touch(id, now);
        if (account.is_rebuilding)
            account.largest_seen = std::max(account.largest_seen, seen);
    }
    std::vector<wire::account_value> returning;
    for (auto const& activation : report.activations) {
        auto const found = m_accounts.find(activation.account);
        if (found == m_accounts.end() || now - found->second.last_active_at > m_options.idle_after)
            returning.push_back(activation);
    }
    wire::service_reading reading { report.epoch, {} };
    reading.others.reserve(report.values.size());
    for (auto const& [id, value] : report.values) {
        auto& account = touch(id, now);
        take_value(account, reporter, report, value);
        finish_rebuild(account, now);
        account.last_active_at = now;
    }
    // A lift counts from what is known with this report's values: from an older sum it would count them twice.
    for (auto const& [id, least] : returning) {
        auto& account = touch(id, now);
        if (auto const present = total(account); present < least)
            account.base += least - present;
    }
    for (auto const& [id, value] : report.values) {
        auto& account = m_accounts.at(id);
        auto const& own = account.contributions[reporter];
        auto const included = own.epoch == report.epoch ? own.value : service_units();
        reading.others.push_back({ id, total(account) - included });
    }
    return reading;
}

service_units service_home::sum(account_id account) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() ? service_units() : total(found->second);
}

service_home::account_state& service_home::touch(account_id account, instant now)
{
    auto [found, is_new] = m_accounts.try_emplace(account);
    if (is_new) {
        found->second.created_at = now;
        found->second.last_active_at = now;
    }
    return found->second;
}

void service_home::take_value(
    account_state& account, vm_name const& reporter, wire::service_report const& report, service_units value)
{
    auto& stored = account.contributions[reporter];
    if (report.epoch < stored.epoch || (report.epoch == stored.epoch && report.sequence <= stored.sequence))
        return;
    if (report.epoch > stored.epoch) {
        // The reporter has restarted and counts from nothing; what it had charged before was still received.
        account.base += stored.value;
        account.contributed -= stored.value;
        stored.value = service_units();
    }
    account.contributed += value - stored.value;
    stored = { report.epoch, report.sequence, value };
}

void service_home::finish_rebuild(account_state& account, instant now) const
{
    if (!account.is_rebuilding || now - account.created_at < m_options.rebuild_window)
        return;
    account.base = total(account) - account.contributed;
    account.is_rebuilding = false;
}

service_units service_home::total(account_state const& account)
{
    auto const known = account.contributed + account.base;
    return account.is_rebuilding ? std::max(known, account.largest_seen) : known;
}

} // namespace shedhill::ledger
