// SPDX-License-Identifier: BSD-2-Clause
// A router's view of the service that its teams have received: its own charges, which are exact and current, plus the
// charges of all other routers by the latest readings from the aggregators.
#pragma once

#include "libraries/wire/messages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::ledger {

// The level of an account and the age of the reading it is based on.
struct account_level {
    // The service per unit of weight.
    std::int64_t level { 0 };
    // The age of the reading of the other routers' charges; zero without a reading.
    milliseconds age { 0 };
};

// The service of each account that this router has handled.
class service_ledger {
public:
    // Adds to this router's charges; a negative amount corrects an earlier charge.
    void charge(account_id account, service_units amount);

    // Records that the account has work at this time.
    void record_active(account_id account, instant now);
    // Whether the account has had no work in this router for longer than `time`. The router decides this by its own
    // record: an account without reports at an aggregator may be partitioned from it instead of idle.
    [[nodiscard]] bool is_idle(account_id account, milliseconds time, instant now) const;
    // Records that an idle account has work again. Until an aggregator answers, its total is at least the floor.
    void activate(account_id account, service_units floor);

    // Applies an aggregator's reading of the other routers' charges.
    void apply_reading(account_id account, service_units others, instant now);

    // Returns the account's total per unit of weight; zero for an unknown account.
    [[nodiscard]] account_level level(account_id account, std::uint32_t weight, instant now) const;
    // Returns the service by all routers, and the part that this router has charged.
    [[nodiscard]] service_units total(account_id account) const;
    [[nodiscard]] service_units charged(account_id account) const;

    // Returns the accounts in use that are due for a report, at most `max_count`, with the largest unreported charges
    // first. An account is due if its charges have changed, if its latest reading is from before `reading_due_before`,
    // or if it has a floor.
    [[nodiscard]] std::vector<account_id> choose_due(
        std::vector<account_id> const& in_use, instant reading_due_before, std::size_t max_count) const;

    // Adds the entries of one account to a report. A new aggregator also receives the account's last known sum.
    void add_to_report(account_id account, bool is_new_aggregator, wire::service_report& report);

    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

private:
    struct account_state {
        // The service that this instance of the router has charged.
        service_units charged {};
        // The value of `charged` in the latest report.
        service_units reported {};
        // The charges of the other routers by the latest reading.
        service_units others {};
        // The lower bound of the total until the aggregator's answer, which includes it, arrives.
        std::optional<service_units> floor;
        bool has_reading { false };
        instant reading_received_at {};
        std::optional<instant> last_active_at;
    };

    static service_units total(account_state const& account);

    std::unordered_map<account_id, account_state> m_accounts;
};

} // namespace shedhill::ledger
