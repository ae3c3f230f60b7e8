// SPDX-License-Identifier: BSD-2-Clause
// Decides which endpoints are offered which waiting accounts, and which request answers a grant.
#pragma once

#include "libraries/ledger/service_ledger.h"
#include "libraries/router/link_table.h"
#include "libraries/router/reach_cache.h"
#include "libraries/router/work_queues.h"

#include <optional>
#include <set>
#include <unordered_map>

namespace shedhill::router {

class offer_planner {
public:
    offer_planner(options const& settings, config::catalog const& catalog, reach_cache& reach, link_table& links,
        work_queues& queues, ledger::service_ledger const& ledger)
        : m_settings(settings)
        , m_catalog(catalog)
        , m_reach(reach)
        , m_links(links)
        , m_queues(queues)
        , m_ledger(ledger)
    {
    }

    // Brings the offers of an account in line with its queue: offers to more endpoints while more waits.
    void sync(account_id account, step_context& step);

    // An endpoint has free slots or has just connected: offers it the accounts of its pool that wait.
    void offer_all(link& to, step_context& step);

    // Accounts that still wait are offered to one endpoint more; levels that have moved are sent again.
    void tick(step_context& step);

    // Which account to run on a grant: the granted one, or one of this router that is clearly further behind.
    [[nodiscard]] std::optional<account_id> choose_for_grant(link const& from, account_id granted, instant now) const;

    // What goes along with a request of the account: its standing demand from now on, and that of a few others at the
    // same endpoint whose levels have moved most since they were sent.
    [[nodiscard]] std::vector<wire::offer_entry> refresh_with_run(
        account_id account, account_id granted, link& to, instant now) const;

    // The least amount that an account returning from idle counts as having received: its weight's share of the least
    // level among the pool's other backlogged accounts.
    [[nodiscard]] std::optional<service_units> floor_for(account_id account, instant now) const;

    void note_finished(account_id account, service_units service, instant now);
    [[nodiscard]] service_units expected_cost(account_id account) const;
    // How long the account's queue will take at the pace of its latest requests.
    [[nodiscard]] milliseconds expected_wait(account_id account) const;

private:
    [[nodiscard]] bool is_offerable(link const& to) const;
    [[nodiscard]] std::optional<std::uint8_t> tier_at(account_queue const& queue, link const& to) const;
    void widen(account_id account, step_context& step);
    void send_offer(link& to, std::vector<account_id> const& accounts, step_context& step);
    // The entry for an account at an endpoint, as of now.
    [[nodiscard]] wire::offer_entry make_entry(account_id account, link const& to, instant now) const;
    void refresh_moved_levels(step_context& step);
    // Those that moved most first.
    [[nodiscard]] std::vector<account_id> moved_accounts(link const& to, instant now) const;

    options const& m_settings;
    config::catalog const& m_catalog;
    reach_cache& m_reach;
    link_table& m_links;
    work_queues& m_queues;
    ledger::service_ledger const& m_ledger;
    // Moving averages over the account's latest requests.
    struct account_pace {
        service_units cost {};
        // Between the ends of two requests.
        milliseconds interval { 0 };
        instant finished_at {};
    };

    std::unordered_map<account_id, account_pace> m_paces;
    // When to offer accounts to one endpoint more. An account stands here at most once.
    std::set<std::pair<instant, account_id>> m_widen_due;
    // Bytes that refreshes may still take, and the link that was refreshed last.
    double m_refresh_budget { 0 };
    instant m_refreshed_at {};
    vm_name m_refreshed_vm;
};

} // namespace shedhill::router
