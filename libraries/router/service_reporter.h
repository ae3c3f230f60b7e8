// SPDX-License-Identifier: BSD-2-Clause
// Exchanges service counters with the homes of accounts, within a fixed number of bytes a second: when more accounts
// move than fit, those that moved most go first and the others wait.
#pragma once

#include "libraries/ledger/service_home.h"
#include "libraries/ledger/service_ledger.h"
#include "libraries/router/link_table.h"

#include <unordered_map>
#include <vector>

namespace shedhill::router {

class service_reporter {
public:
    service_reporter(options const& settings, link_table& links, ledger::service_ledger& ledger)
        : m_settings(settings)
        , m_links(links)
        , m_ledger(ledger)
        , m_home(settings.home)
    {
    }

    [[nodiscard]] bool is_due(instant now) const { return now - m_reported_at >= m_settings.report_interval; }
    // Reports the accounts that are in use here, as far as the budget goes.
    void report(std::vector<account_id> const& in_use, step_context& step);

    // Another router's report, at the home of its accounts.
    [[nodiscard]] wire::service_reading accept(
        vm_name const& reporter, wire::service_report const& report, instant now);

    // What a home answered.
    void take(wire::service_reading const& reading, instant now);

    [[nodiscard]] ledger::service_home const& home() const { return m_home; }

private:
    [[nodiscard]] vm_name const& home_of(account_id account);
    void note_routers();
    void report_to(vm_name const& home, std::vector<account_id> const& accounts, step_context& step);
    wire::service_report make_report(std::vector<account_id> const& accounts, connection_id home_connection);

    options const& m_settings;
    link_table& m_links;
    ledger::service_ledger& m_ledger;
    ledger::service_home m_home;
    // Over which connection each account was last reported; another one means a home that may know nothing of it.
    std::unordered_map<account_id, connection_id> m_reported_over;
    // The live routers when homes were last chosen, and the homes chosen among them.
    std::vector<vm_name> m_routers;
    std::unordered_map<account_id, vm_name> m_homes;
    std::uint64_t m_sequence { 0 };
    instant m_reported_at {};
    double m_budget { 0 };
};

} // namespace shedhill::router
