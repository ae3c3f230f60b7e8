// SPDX-License-Identifier: BSD-2-Clause
// Decides which waiting accounts are offered to which endpoints, and which account uses a grant. An offer remains at an
// endpoint until all its requests are granted, the router replaces it, or a grant finds no work.
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

    // Matches the offers of an account to its queue: offers it to its spread of endpoints, and to further free ones
    // while more requests wait than were offered.
    void sync_offers(account_id account, step_context& step);

    // Offers the waiting accounts of the pool to an endpoint that has free slots or has just connected.
    void offer_all(link& to, step_context& step);

    // Offers accounts that still wait to one more endpoint, and sends levels that have changed again.
    void tick(step_context& step);

    // Returns the account whose request uses a grant: the granted one, or one of this router whose level is lower by
    // more than one expected request. If the granted account has no work, returns the one with the lowest level, or
    // nothing if no account may use the grant.
    [[nodiscard]] std::optional<account_id> choose_for_grant(link const& from, account_id granted, instant now) const;

    // Returns the offers to send along with a request of the account: that of the account, that of the granted account,
    // and those at the same endpoint whose levels have changed most since they were sent.
    [[nodiscard]] std::vector<wire::offer_entry> refresh_entries_for_run(
        account_id account, account_id granted, link& to, instant now) const;

    // Returns the service that an account that returns from idle counts as having received at least: its weight times
    // the lowest level among the pool's other backlogged accounts. Returns nothing if there are none.
    [[nodiscard]] std::optional<service_units> activation_floor(account_id account, instant now) const;

    // Updates the moving averages of the account with a finished request.
    void record_finished(account_id account, service_units service, instant now);
    // Returns the average service of the account's latest requests.
    [[nodiscard]] service_units expected_cost(account_id account) const;
    // Returns the time that the account's queue needs at the rate of its latest requests.
    [[nodiscard]] milliseconds expected_wait(account_id account) const;

private:
    [[nodiscard]] bool is_offerable(link const& to) const;
    [[nodiscard]] std::optional<std::uint8_t> tier_at(account_queue const& queue, link const& to) const;
    void widen(account_id account, step_context& step);
    void send_offer(link& to, std::vector<account_id> const& accounts, step_context& step);
    // Returns the current offer entry for an account at an endpoint.
    [[nodiscard]] wire::offer_entry make_entry(account_id account, link const& to, instant now) const;
    // Sends changed levels and the revision in force to endpoints, as far as the byte budget allows.
    void refresh_changed_levels(step_context& step);
    // Returns the backlogged accounts whose offers at the endpoint are exhausted or whose levels have changed too much
    // since they were sent, with the largest change first.
    [[nodiscard]] std::vector<account_id> find_outdated_accounts(link const& to, instant now) const;

    options const& m_settings;
    config::catalog const& m_catalog;
    reach_cache& m_reach;
    link_table& m_links;
    work_queues& m_queues;
    ledger::service_ledger const& m_ledger;
    // Moving averages over an account's latest requests.
    struct account_averages {
        service_units cost {};
        // The time between the ends of two requests.
        milliseconds interval { 0 };
        instant finished_at {};
    };

    std::unordered_map<account_id, account_averages> m_averages;
    // The times at which accounts are offered to one more endpoint. An account has at most one entry.
    std::set<std::pair<instant, account_id>> m_widen_due;
    // The bytes left for refreshes, when they were last replenished, and the VM that was considered last.
    double m_refresh_budget { 0 };
    instant m_refresh_budget_updated_at {};
    vm_name m_last_refreshed_vm;
};

} // namespace shedhill::router
