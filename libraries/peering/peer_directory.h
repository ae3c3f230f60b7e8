// SPDX-License-Identifier: BSD-2-Clause
// Tracks the routers that may exist and decides which of them to connect to. Routers are known from the store's table
// of routers, the seeds in the settings, and reports of other routers. A router that none of these names any more is
// removed once it is not connected.
//
// A small fleet is a full mesh. In a larger fleet a router connects only to the routers of its own failure domain. The
// live router of the highest weight is the domain's delegate: it connects to one remote peer in each other failure
// domain and asks it to connect back. A router's cost thus grows with the size of its failure domain, and the traffic
// between failure domains with their number.
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
    // Up to this number of routers, each sends its own reports to all others: 11 links per router and no domain sums.
    static constexpr std::size_t default_max_full_mesh_routers = 12;

    explicit peer_directory(fleet_member self, std::size_t max_full_mesh_routers = default_max_full_mesh_routers)
        : m_self(std::move(self))
        , m_max_full_mesh_routers(max_full_mesh_routers)
    {
    }

    [[nodiscard]] fleet_member const& self() const { return m_self; }
    void set_own_address(std::string address) { m_self.address = std::move(address); }
    // Replaces the known rows of the store's table of routers; `rows` maps the keys of the whole table to its members.
    void apply_table(std::map<std::string, fleet_member> const& rows);
    void add_seed(std::string const& address) { find_or_add({ address, {}, 0 }).is_seed = true; }
    // Records that another router listed this member.
    void add_reported(fleet_member const& member, instant now)
    {
        find_or_add(member).last_reported_at = now;
        m_is_fleet_known = true;
    }
    // Records a report that came from the member itself: it is up, and is connected to without waiting for the
    // back-off. An overloaded router does not become its domain's delegate.
    void record_direct_report(fleet_member const& member, bool is_overloaded, instant now);
    // Records that the router at this address asked this one to connect to it.
    void record_link_request(std::string const& address, instant now)
    {
        find_or_add({ address, {}, 0 }).link_requested_at = now;
    }
    // Records that sums of the failure domain arrived directly from one of its routers.
    void record_domain_sums(failure_domain const& domain, instant now) { m_domains[domain].last_received_at = now; }

    void record_connected(std::string const& address);
    // Records that the connection or the attempt failed and schedules the next attempt, with jitter from `draw`.
    void record_disconnected(std::string const& address, instant now, std::uint64_t draw);
    // Returns the addresses to connect to now and marks each as connecting.
    [[nodiscard]] std::vector<std::string> take_due(instant now);
    // Returns the connected routers whose connection is no longer needed and marks each as disconnected.
    [[nodiscard]] std::vector<std::string> take_unneeded(instant now);

    // Returns the connected routers that are to be asked to connect back: the remote peers of a delegate, and routers
    // of which only the address is known.
    [[nodiscard]] std::vector<std::string> wanted_reverse_links() const;

    // Returns the table keys of routers whose rows are to be removed, because this router has been unable to connect to
    // them for a long time.
    [[nodiscard]] std::vector<std::string> stale_rows(instant now) const;
    // Returns all routers that are not known to be down, including this one.
    [[nodiscard]] std::vector<fleet_member> members() const;
    // Returns whether the table or another router has listed the fleet. The seeds alone may be out of date.
    [[nodiscard]] bool is_fleet_known() const { return m_is_fleet_known; }
    // Returns the addresses of all known routers, including this one.
    [[nodiscard]] std::vector<std::string> addresses() const;
    // Returns the number of known routers, including this one.
    [[nodiscard]] std::size_t size() const { return m_peers.size() + 1; }
    // Returns whether the fleet is small enough for each router to connect to all others.
    [[nodiscard]] bool is_full_mesh() const;
    // Returns whether the router at this address receives this router's own reports. Others receive the sums of the
    // failure domain instead.
    [[nodiscard]] bool receives_own_reports(std::string const& address) const;

private:
    struct peer_record {
        fleet_member member;
        // The key of its row in the table of routers; empty if it has none.
        std::string row;
        bool is_seed { false };
        bool is_connected { false };
        bool is_connecting { false };
        bool is_overloaded { false };
        // When any router last reported it, and when it last sent a report itself.
        instant last_reported_at {};
        instant last_received_at {};
        // When it last asked this router to connect to it.
        instant link_requested_at {};
        instant next_attempt_at {};
        // When the connection or the first attempt failed; the zero instant if neither has failed since the last
        // successful one.
        instant down_since {};
        milliseconds backoff { 0 };
        // Until this time, other routers of its domain are preferred as remote peer.
        instant avoided_until {};
    };

    // The connection state toward another failure domain.
    struct domain_state {
        // The address of the router that this one, as delegate, connects to; empty if there is none.
        std::string remote_peer;
        instant chosen_at {};
        instant last_received_at {};
    };

    peer_record& find_or_add(fleet_member const& member);
    [[nodiscard]] bool is_own_domain(peer_record const& peer) const { return peer.member.domain == m_self.domain; }
    [[nodiscard]] bool is_delegate(instant now) const;
    [[nodiscard]] bool should_connect(peer_record const& peer, instant now) const;
    [[nodiscard]] bool is_remote_peer(peer_record const& peer) const;
    void remove_unreferenced(instant now);
    void choose_remote_peers(instant now);
    void replace_remote_peer(failure_domain const& domain, domain_state& state, instant now);
    [[nodiscard]] bool has_failed(domain_state const& state, instant now) const;

    fleet_member m_self;
    std::size_t m_max_full_mesh_routers;
    // Peers by address; the router itself is never among them.
    std::map<std::string, peer_record> m_peers;
    // Absorbs updates that concern this router itself or have no address.
    peer_record m_discarded;
    std::map<failure_domain, domain_state> m_domains;
    std::optional<instant> m_started_at;
    bool m_is_fleet_known { false };
};

} // namespace shedhill::peering
