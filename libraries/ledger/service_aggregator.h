// SPDX-License-Identifier: BSD-2-Clause
// The aggregator of accounts: sums the service that all routers have charged to each account. Its state is soft: a new
// aggregator rebuilds it from the reporters' cumulative values and from the largest of the sums that they received
// before.
#pragma once

#include "libraries/wire/messages.h"

#include <map>
#include <unordered_map>

namespace shedhill::ledger {

// The time limits of an aggregator.
struct aggregator_options {
    // The time after an account's creation during which sums that reporters received earlier are applied.
    milliseconds rebuild_window { 5000 };
    // An account without reports for longer than this is idle. When it returns, its sum is raised to the reported
    // floor, so that the idle time gives it no advantage.
    milliseconds idle_after { 4000 };
};

// The sums of the accounts that the routers report to this process.
class service_aggregator {
public:
    explicit service_aggregator(aggregator_options options = {})
        : m_options(options)
    {
    }

    // Applies a report and returns, for each reported account, the service charged by all other routers.
    wire::service_reading accept(vm_name const& reporter, wire::service_report const& report, instant now);

    // Returns the service charged to the account by all routers; zero for an unknown account.
    [[nodiscard]] service_units sum(account_id account) const;
    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

private:
    // The cumulative charges of one router to one account.
    struct contribution {
        process_epoch epoch {};
        // The sequence number of the newest report of the epoch; older reports are ignored.
        std::uint64_t sequence { 0 };
        service_units value {};
    };

    struct account_state {
        std::map<vm_name, contribution> contributions;
        // Invariant: the sum of the contributions' values.
        service_units contributed {};
        // Service outside the contributions: earlier epochs, raises to a floor, and the rest of a rebuilt sum.
        service_units base {};
        // The largest sum that a reporter received from an earlier aggregator.
        service_units largest_reported_sum {};
        instant created_at {};
        instant last_active_at {};
        bool is_rebuilding { true };
    };

    account_state& find_or_create(account_id account, instant now);
    static void apply_value(
        account_state& account, vm_name const& reporter, wire::service_report const& report, service_units value);
    void finish_rebuild(account_state& account, instant now) const;
    static service_units total(account_state const& account);

    aggregator_options m_options;
    std::unordered_map<account_id, account_state> m_accounts;
};

} // namespace shedhill::ledger
