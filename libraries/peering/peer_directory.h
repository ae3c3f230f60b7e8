// SPDX-License-Identifier: BSD-2-Clause
// Which routers there may be, and which of them to connect to. Routers are known from the table of routers, the seeds
// of the settings, and what other routers tell; one that nobody vouches for any more is forgotten once it does not
// answer.
//
// A small fleet connects all to all. In a larger one a router connects to the routers of its own failure domain only.
// The one of them with the most to spend, of those who are heard, is the domain's teller: it connects to one contact in
// each other failure domain, and asks it to connect back. So the cost of a router grows with its failure domain, and
// what passes between failure domains with their number.
#pragma once

#include "base/units.h"
#include "libraries/peering/fleet_member.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace shedhill::peering {

class peer_directory {
public:
    // Up to so many routers the news of each go straight to all others: 11 links a router, and no sum on the way.
    static constexpr std::size_t usual_full_mesh = 12;

    explicit peer_directory(fleet_member self, std::size_t most_in_full_mesh = usual_full_mesh)
        : m_self(std::move(self))
        , m_most_in_full_mesh(most_in_full_mesh)
    {
    }

    [[nodiscard]] fleet_member const& self() const { return m_self; }
    void set_own_address(std::string address) { m_self.address = std::move(address); }
    // The whole table of routers: key and member of each.
    void take_table(std::map<std::string, fleet_member> const& rows);
    void add_seed(std::string const& address) { learn({ address, {}, 0 }).is_seed = true; }
    // Another router knows of this one.
    void add_told(fleet_member const& member, instant now)
    {
        learn(member).told_at = now;
        m_is_fleet_known = true;
    }
    // This router itself has spoken: it is up, and is connected to without waiting. While it has more to do than it
    // can, it does not tell for its failure domain.
    void note_heard(fleet_member const& member, bool is_aside, instant now);
    // A router of another failure domain asks to be connected to.
    void note_wanted(std::string const& address, instant now) { learn({ address, {}, 0 }).wanted_at = now; }
    // Sums of the failure domain came from one of its routers.
    void note_domain_heard(failure_domain const& domain, instant now) { m_domains[domain].heard_at = now; }

    void note_connected(std::string const& address);
    void note_lost(std::string const& address, instant now, std::uint64_t draw);
    // Addresses that are due to be connected to; each counts as being tried from now on.
    [[nodiscard]] std::vector<std::string> take_due(instant now);
    // Routers that are connected and need not be any more; each counts as not connected from now on.
    [[nodiscard]] std::vector<std::string> take_needless(instant now);

    // Connected routers that are to connect back: contacts, and those of which only the address is known.
    [[nodiscard]] std::vector<std::string> wanted_links() const;

    // Rows of routers that have not answered for long, to be removed from the table.
    [[nodiscard]] std::vector<std::string> rows_of_the_dead(instant now) const;
    // All that are thought to be there, this one included.
    [[nodiscard]] std::vector<fleet_member> members() const;
    // Whether the table or another router has told which routers there are; the seeds alone may be out of date.
    [[nodiscard]] bool is_fleet_known() const { return m_is_fleet_known; }
    // Of all routers there may be, this one included.
    [[nodiscard]] std::vector<std::string> addresses() const;
    // Routers there may be, this one included.
    [[nodiscard]] std::size_t size() const { return m_peers.size() + 1; }
    // Whether all routers are connected to all.
    [[nodiscard]] bool is_full_mesh() const;
    // Whether the router is told what this one does by itself; others are told the sums of the failure domain.
    [[nodiscard]] bool is_told_singly(std::string const& address) const;

private:
    struct peer {
        fleet_member member;
        // Its key in the table, or empty.
        std::string row;
        bool is_seed { false };
        bool is_connected { false };
        bool is_trying { false };
        bool is_aside { false };
        // By another router, and by itself.
        instant told_at {};
        instant heard_at {};
        // When it last asked to be connected to.
        instant wanted_at {};
        instant next_try {};
        instant down_since {};
        milliseconds back_off { 0 };
        // Not chosen as a contact until then.
        instant avoided_until {};
    };

    // Another failure domain.
    struct domain_state {
        // The contact's address, or empty.
        std::string contact;
        instant chosen_at {};
        instant heard_at {};
    };

    peer& learn(fleet_member const& member);
    [[nodiscard]] bool is_own_domain(peer const& known) const { return known.member.domain == m_self.domain; }
    [[nodiscard]] bool is_teller(instant now) const;
    [[nodiscard]] bool is_wanted(peer const& known, instant now) const;
    [[nodiscard]] bool is_contact(peer const& known) const;
    void forget_unvouched(instant now);
    void choose_contacts(instant now);
    void replace_contact(failure_domain const& domain, domain_state& state, instant now);
    [[nodiscard]] bool has_failed(domain_state const& state, instant now) const;

    fleet_member m_self;
    std::size_t m_most_in_full_mesh;
    // By address; never contains the own one.
    std::map<std::string, peer> m_peers;
    peer m_nobody;
    std::map<failure_domain, domain_state> m_domains;
    std::optional<instant> m_started_at;
    bool m_is_fleet_known { false };
};

} // namespace shedhill::peering
