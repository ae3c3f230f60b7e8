// SPDX-License-Identifier: BSD-2-Clause
// The home of accounts: adds up what all routers have charged to each. Soft state: a new home is rebuilt from the
// reporters' cumulative values and from the largest sums they remember.
#pragma once

#include "libraries/wire/messages.h"

#include <map>
#include <unordered_map>

namespace shedhill::ledger {

struct home_options {
    // How long a new account takes the reporters' remembered sums into account.
    milliseconds rebuild_window { 5000 };
    // An account that no one has reported for this long has been idle, and returns without credit.
    milliseconds idle_after { 4000 };
};

class service_home {
public:
    explicit service_home(home_options options = {})
        : m_options(options)
    {
    }

    // Takes a report in and says, for each reported account, what all others have been charged.
    wire::service_reading accept(vm_name const& reporter, wire::service_report const& report, instant now);

    [[nodiscard]] service_units sum(account_id account) const;
    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

private:
    struct contribution {
        process_epoch epoch {};
        // The newest report of the epoch that was taken in; older ones change nothing.
        std::uint64_t sequence { 0 };
        service_units value {};
    };

    struct account_state {
        std::map<vm_name, contribution> contributions;
        // Always the sum of the contributions' values.
        service_units contributed {};
        // Service that no present contribution holds: earlier epochs, lifts, and what a rebuild found missing.
        service_units base {};
        service_units largest_seen {};
        instant created_at {};
        instant last_active_at {};
        bool is_rebuilding { true };
    };

    account_state& touch(account_id account, instant now);
    static void take_value(
        account_state& account, vm_name const& reporter, wire::service_report const& report, service_units value);
    void finish_rebuild(account_state& account, instant now) const;
    static service_units total(account_state const& account);

    home_options m_options;
    std::unordered_map<account_id, account_state> m_accounts;
};

} // namespace shedhill::ledger
