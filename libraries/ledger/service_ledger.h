// SPDX-License-Identifier: BSD-2-Clause
// A router's view of the service that its teams have received: its own charges, exact and up to date, plus what the
// homes last said of all others.
#pragma once

#include "libraries/wire/messages.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::ledger {

struct account_level {
    // Service for each unit of weight.
    std::int64_t level { 0 };
    // The age of what is known of the other routers' charges.
    milliseconds age { 0 };
};

class service_ledger {
public:
    // Adds to (or, as a correction, takes from) what this router has charged.
    void charge(account_id account, service_units amount);

    // The account has work, or had until now.
    void note_active(account_id account, instant now);
    // Whether the account has had no work here for so long. Only then may it be called idle: what a home has not heard
    // of for as long may have been cut off from it.
    [[nodiscard]] bool is_idle(account_id account, milliseconds time, instant now) const;
    // The account has work again after none. Until a home answers it counts as having received at least the floor.
    void activate(account_id account, service_units floor);

    // Takes in what a home says of the other routers.
    void read(account_id account, service_units others, instant now);

    [[nodiscard]] account_level level(account_id account, std::uint32_t weight, instant now) const;
    [[nodiscard]] service_units total(account_id account) const;
    [[nodiscard]] service_units charged(account_id account) const;

    // The accounts to report next, at most so many: those that moved most since they were last reported go first.
    // An account is due if it moved, or if it is in use and was last read before the given instant.
    [[nodiscard]] std::vector<account_id> choose_due(
        std::vector<account_id> const& in_use, instant read_before, std::size_t most) const;

    // Fills a report's entries for one account.
    void add_to_report(account_id account, bool is_new_home, wire::service_report& report);

    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

private:
    struct account_state {
        // Everything this router has charged in this epoch.
        service_units charged {};
        service_units reported {};
        service_units others {};
        // Counts until the home's answer, which includes it, arrives.
        std::optional<service_units> floor;
        bool has_reading { false };
        instant read_at {};
        std::optional<instant> active_at;
    };

    static service_units total(account_state const& account);

    std::unordered_map<account_id, account_state> m_accounts;
};

} // namespace shedhill::ledger
