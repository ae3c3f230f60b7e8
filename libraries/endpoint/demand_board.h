// SPDX-License-Identifier: BSD-2-Clause
// The standing demand of all connected routers, and the choice of the team that gets the next slot.
#pragma once

#include "base/random_draw.h"
#include "libraries/endpoint/options.h"
#include "libraries/wire/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace shedhill::endpoint {

struct chosen_demand {
    connection_id connection {};
    account_id account {};
    service_units expected_cost {};
};

class demand_board {
public:
    explicit demand_board(options const& settings)
        : m_settings(settings)
    {
    }

    // Replaces what the router has said of the account; no waiting requests withdraw it.
    void put(connection_id connection, wire::offer_entry const& entry, instant now);
    void drop(connection_id connection);
    void drop(connection_id connection, account_id account);
    void clear() { m_accounts.clear(); }

    [[nodiscard]] bool is_empty() const { return m_accounts.empty(); }
    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

    // Takes one request off the demand of the chosen account at the chosen router.
    std::optional<chosen_demand> take_next(random_draw& draw, instant now);

    // Service given here; negative as a correction. Levels that are older than it are corrected by it.
    void charge(connection_id connection, account_id account, service_units amount, instant now);

    // All that this endpoint has ever given to the account.
    [[nodiscard]] service_units total(account_id account) const;

private:
    struct standing {
        wire::offer_entry entry;
        instant received_at {};
    };

    struct own_charge {
        instant at {};
        connection_id connection {};
        service_units amount {};
    };

    struct charge_log {
        std::deque<own_charge> recent;
        service_units total {};
    };

    using standings = std::map<connection_id, standing>;

    [[nodiscard]] std::int64_t level_of(account_id account, standings const& offered, instant now) const;
    [[nodiscard]] std::int64_t corrected_level(
        account_id account, connection_id connection, standing const& offered, instant now) const;
    [[nodiscard]] account_id choose_account(random_draw& draw, instant now);
    [[nodiscard]] std::vector<account_id> best_tier() const;

    options const& m_settings;
    // Invariant: no account without a standing offer, and no standing offer without waiting requests.
    std::map<account_id, standings> m_accounts;
    std::unordered_map<account_id, charge_log> m_charges;
    std::uint32_t m_grants_since_exact { 0 };
};

} // namespace shedhill::endpoint
