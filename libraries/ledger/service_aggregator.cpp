// SPDX-License-Identifier: BSD-2-Clause
// Sums the cumulative contributions of the reporters. Duplicate and late reports have no effect.
#include "libraries/ledger/service_aggregator.h"

#include <algorithm>

namespace shedhill::ledger {

wire::service_reading service_aggregator::accept(
    vm_name const& reporter, wire::service_report const& report, instant now)
{
    // The sums to rebuild from are applied before the values, because they precede this report.
    for (auto const& [id, reported_sum] : report.rebuild) {
        auto& account = find_or_create(id, now);
        if (account.is_rebuilding)
            account.largest_reported_sum = std::max(account.largest_reported_sum, reported_sum);
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
        auto& account = find_or_create(id, now);
        apply_value(account, reporter, report, value);
        finish_rebuild(account, now);
        account.last_active_at = now;
    }
    // A floor is compared with the sum that includes this report's values. With the earlier sum they would count twice.
    for (auto const& [id, floor] : returning) {
        auto& account = find_or_create(id, now);
        if (auto const current = total(account); current < floor)
            account.base += floor - current;
    }
    for (auto const& [id, value] : report.values) {
        auto& account = m_accounts.at(id);
        auto const& own = account.contributions[reporter];
        auto const included = own.epoch == report.epoch ? own.value : service_units();
        reading.others.push_back({ id, total(account) - included });
    }
    return reading;
}

service_units service_aggregator::sum(account_id account) const
{
    auto const found = m_accounts.find(account);
    return found == m_accounts.end() ? service_units() : total(found->second);
}

service_aggregator::account_state& service_aggregator::find_or_create(account_id account, instant now)
{
    auto [found, is_new] = m_accounts.try_emplace(account);
    if (is_new) {
        found->second.created_at = now;
        found->second.last_active_at = now;
    }
    return found->second;
}

void service_aggregator::apply_value(
    account_state& account, vm_name const& reporter, wire::service_report const& report, service_units value)
{
    auto& stored = account.contributions[reporter];
    if (report.epoch < stored.epoch || (report.epoch == stored.epoch && report.sequence <= stored.sequence))
        return;
    if (report.epoch > stored.epoch) {
        // The reporter has restarted and counts from zero. Its earlier charges remain in the base.
        account.base += stored.value;
        account.contributed -= stored.value;
        stored.value = service_units();
    }
    account.contributed += value - stored.value;
    stored = { report.epoch, report.sequence, value };
}

void service_aggregator::finish_rebuild(account_state& account, instant now) const
{
    if (!account.is_rebuilding || now - account.created_at < m_options.rebuild_window)
        return;
    account.base = total(account) - account.contributed;
    account.is_rebuilding = false;
}

service_units service_aggregator::total(account_state const& account)
{
    auto const known_total = account.contributed + account.base;
    return account.is_rebuilding ? std::max(known_total, account.largest_reported_sum) : known_total;
}

} // namespace shedhill::ledger
