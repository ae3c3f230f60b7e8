// SPDX-License-Identifier: BSD-2-Clause
// Exchanges service counters with the aggregators of accounts within a limit of bytes per second. If more accounts
// changed than fit, those that changed most are reported first.
#pragma once

#include "libraries/ledger/service_aggregator.h"
#include "libraries/ledger/service_ledger.h"
#include "libraries/router/link_table.h"

#include <unordered_map>
#include <vector>

namespace shedhill::router {

// Reports this router's charges to the aggregator of each account, and acts as the aggregator of its own share of
// accounts.
class service_reporter {
public:
    service_reporter(options const& settings, link_table& links, ledger::service_ledger& ledger)
        : m_settings(settings)
        , m_links(links)
        , m_ledger(ledger)
        , m_aggregator(settings.aggregator)
    {
    }

    [[nodiscard]] bool is_due(instant now) const { return now - m_reported_at >= m_settings.report_interval; }
    // Reports the accounts that are in use in this router, as far as the byte budget allows.
    void report(std::vector<account_id> const& in_use, step_context& step);

    // Applies another router's report as the aggregator of its accounts, and returns the reading to answer with.
    [[nodiscard]] wire::service_reading accept(
        vm_name const& reporter, wire::service_report const& report, instant now);

    // Applies the answer of an aggregator. Answers to an earlier instance of this process are ignored.
    void apply_reading(wire::service_reading const& reading, instant now);

    [[nodiscard]] ledger::service_aggregator const& aggregator() const { return m_aggregator; }

private:
    // Returns the router that aggregates the account, by rendezvous hashing over the live routers.
    [[nodiscard]] vm_name const& aggregator_of(account_id account);
    void update_routers();
    void report_to(vm_name const& aggregator, std::vector<account_id> const& accounts, step_context& step);
    wire::service_report make_report(std::vector<account_id> const& accounts, connection_id aggregator_connection);

    options const& m_settings;
    link_table& m_links;
    ledger::service_ledger& m_ledger;
    ledger::service_aggregator m_aggregator;
    // The connection over which each account was last reported. Another connection may lead to an aggregator that does
    // not know the account.
    std::unordered_map<account_id, connection_id> m_reporting_connections;
    // The live routers when aggregators were last chosen, and the aggregators chosen among them.
    std::vector<vm_name> m_routers;
    std::unordered_map<account_id, vm_name> m_aggregators;
    std::uint64_t m_sequence { 0 };
    instant m_reported_at {};
    // The bytes left for reports.
    double m_budget { 0 };
};

} // namespace shedhill::router
