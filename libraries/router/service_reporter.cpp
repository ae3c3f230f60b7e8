// SPDX-License-Identifier: BSD-2-Clause
// Chooses the aggregators by rendezvous hashing and reports to them within the byte budget.
#include "libraries/router/service_reporter.h"

#include "base/hash.h"

#include <algorithm>
#include <map>
#include <string_view>

namespace shedhill::router {

namespace {

// The size in bytes of one account's entries in a report and its reading, as FlatBuffers structs.
constexpr double account_entry_bytes = 32;
// The size in bytes of the frames, vtables and lengths of a report and its reading.
constexpr double exchange_overhead_bytes = 128;
// Represents this process as the aggregator of accounts; it is not the id of a real connection.
constexpr connection_id own_connection {};

} // namespace

void service_reporter::report(std::vector<account_id> const& in_use, step_context& step)
{
    for (auto const account : in_use)
        m_ledger.record_active(account, step.now());
    auto const elapsed = step.now() - m_reported_at;
    m_reported_at = step.now();
    auto const rate = static_cast<double>(m_settings.report_bytes_per_second);
    auto const seconds = static_cast<double>(elapsed.count()) / 1000.0;
    // The budget accumulates for at most one second.
    m_budget = std::min(m_budget + rate * seconds, rate);
    update_routers();
    std::map<vm_name, std::vector<account_id>> by_aggregator;
    for (auto const account : m_ledger.choose_due(in_use, step.now() - m_settings.report_interval, in_use.size())) {
        auto const& aggregator = aggregator_of(account);
        auto const is_own = aggregator == m_settings.vm;
        auto const cost
            = is_own ? 0 : account_entry_bytes + (by_aggregator.contains(aggregator) ? 0 : exchange_overhead_bytes);
        if (m_budget < cost)
            continue;
        m_budget -= cost;
        by_aggregator[aggregator].push_back(account);
    }
    for (auto const& [aggregator, accounts] : by_aggregator)
        report_to(aggregator, accounts, step);
}

wire::service_reading service_reporter::accept(vm_name const& reporter, wire::service_report const& report, instant now)
{
    return m_aggregator.accept(reporter, report, now);
}

void service_reporter::apply_reading(wire::service_reading const& reading, instant now)
{
    if (reading.epoch != m_settings.epoch)
        return;
    for (auto const& [account, others] : reading.others)
        m_ledger.apply_reading(account, others, now);
}

void service_reporter::update_routers()
{
    auto routers = m_links.live_routers();
    if (routers == m_routers)
        return;
    m_routers = std::move(routers);
    m_aggregators.clear();
}

vm_name const& service_reporter::aggregator_of(account_id account)
{
    auto const [found, is_new] = m_aggregators.try_emplace(account);
    if (is_new) {
        found->second = *std::ranges::max_element(m_routers, {}, [&](vm_name const& router) {
            return std::pair(rendezvous_weight(account.value(), router.value()), std::string_view(router.value()));
        });
    }
    return found->second;
}

void service_reporter::report_to(vm_name const& aggregator, std::vector<account_id> const& accounts, step_context& step)
{
    if (aggregator == m_settings.vm) {
        apply_reading(m_aggregator.accept(aggregator, make_report(accounts, own_connection), step.now()), step.now());
        return;
    }
    auto const* to = m_links.find(aggregator);
    if (to == nullptr)
        return;
    if (to->phase != link_phase::up) {
        m_links.mark_wanted(aggregator);
        return;
    }
    step.count(counter::reports_sent);
    step.send(to->connection, make_report(accounts, to->connection));
}

wire::service_report service_reporter::make_report(
    std::vector<account_id> const& accounts, connection_id aggregator_connection)
{
    wire::service_report report { m_settings.epoch, ++m_sequence, {}, {}, {} };
    for (auto const account : accounts) {
        auto const [found, is_first] = m_reporting_connections.try_emplace(account, aggregator_connection);
        auto const is_new_aggregator = is_first || found->second != aggregator_connection;
        found->second = aggregator_connection;
        m_ledger.add_to_report(account, is_new_aggregator, report);
    }
    return report;
}

} // namespace shedhill::router
