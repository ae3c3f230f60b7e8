// SPDX-License-Identifier: BSD-2-Clause
// The current offers of all connected routers, and the choice of the account that gets the next free slot.
#pragma once

#include "base/random_generator.h"
#include "libraries/endpoint/options.h"
#include "libraries/wire/messages.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

namespace shedhill::endpoint {

// The router and the account that the next slot is granted to.
struct chosen_demand {
    connection_id connection {};
    account_id account {};
    service_units expected_cost {};
};

// The offers by account and router, and the service that this endpoint has given to each account.
class demand_board {
public:
    explicit demand_board(options const& settings)
        : m_settings(settings)
    {
    }

    // Replaces the router's offer of the account. An entry without waiting requests withdraws the offer.
    void put(connection_id connection, wire::offer_entry const& entry, instant now);
    // Withdraws all offers of a router, or one of them.
    void drop(connection_id connection);
    void drop(connection_id connection, account_id account);
    void clear() { m_accounts.clear(); }

    [[nodiscard]] bool is_empty() const { return m_accounts.empty(); }
    [[nodiscard]] std::size_t account_count() const { return m_accounts.size(); }

    // Chooses an account and one of the routers that offer it, and removes one request from the offer. Returns nothing
    // if there are no offers.
    std::optional<chosen_demand> take_next(random_generator& draw, instant now);

    // Records service that this endpoint gave to the account through a router; a negative amount corrects earlier
    // service. Levels that do not include the charge yet are corrected by it.
    void charge(connection_id connection, account_id account, service_units amount, instant now);

    // Returns the service that this endpoint has given to the account since the process started.
    [[nodiscard]] service_units total(account_id account) const;

private:
    // The latest offer entry of one router for one account.
    struct received_offer {
        wire::offer_entry entry;
        instant received_at {};
    };

    // Service that this endpoint gave through the router of a connection.
    struct own_charge {
        instant at {};
        connection_id connection {};
        service_units amount {};
    };

    // The charges of one account.
    struct charge_log {
        // The latest charges, ordered by time.
        std::deque<own_charge> recent;
        // The sum of all charges since the process started.
        service_units total {};
    };

    using offers_by_router = std::map<connection_id, received_offer>;

    [[nodiscard]] std::int64_t level_of(account_id account, offers_by_router const& offers, instant now) const;
    [[nodiscard]] std::int64_t corrected_level(
        account_id account, connection_id connection, received_offer const& offer, instant now) const;
    [[nodiscard]] account_id choose_account(random_generator& draw, instant now);
    [[nodiscard]] std::vector<account_id> best_tier() const;

    options const& m_settings;
    // Invariant: each account has an offer, and each offer has waiting requests.
    std::map<account_id, offers_by_router> m_accounts;
    std::unordered_map<account_id, charge_log> m_charges;
    std::uint32_t m_grants_since_exact { 0 };
};

} // namespace shedhill::endpoint
