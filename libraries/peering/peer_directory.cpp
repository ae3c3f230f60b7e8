// SPDX-License-Identifier: BSD-2-Clause
// Implements the connection attempts with back-off and jitter, and the choice of delegates and remote peers.
#include "libraries/peering/peer_directory.h"

#include <algorithm>
#include <tuple>

namespace shedhill::peering {

namespace {

constexpr milliseconds initial_backoff { 150 };
constexpr milliseconds max_backoff { 1500 };
// A router that is only known from reports is removed if none has named it for this time.
constexpr milliseconds report_lifetime { 10000 };
// The row of a router that has been down for this time is removed from the table.
constexpr milliseconds stale_after { 15000 };
// A router without a report for this time cannot be the delegate. Routers of a failure domain send one every 100 ms.
constexpr milliseconds report_timeout { 600 };
// For this time after its start a router does not become the delegate, since it has not received reports of the others.
constexpr milliseconds startup_listen_time { 700 };
// A remote peer is replaced if no sums arrive for this time. They arrive every 100 ms, and connecting to a new remote
// peer takes about 10 ms.
constexpr milliseconds remote_peer_timeout { 900 };
// A remote peer that failed is not preferred again for this time.
constexpr milliseconds remote_peer_avoid_time { 4000 };
// A link request is valid for this time; the requesting router repeats it every second.
constexpr milliseconds link_request_lifetime { 3000 };

// Orders the candidates for delegate and remote peer: routers that are not overloaded first, then by descending weight,
// then by address.
bool precedes(fleet_member const& one, bool one_is_overloaded, fleet_member const& other, bool other_is_overloaded)
{
    auto const key = [](fleet_member const& member, bool is_overloaded) {
        return std::tuple(is_overloaded, -static_cast<std::int64_t>(member.weight), std::string_view(member.address));
    };
    return key(one, one_is_overloaded) < key(other, other_is_overloaded);
}

} // namespace

peer_directory::peer_record& peer_directory::find_or_add(fleet_member const& member)
{
    if (member.address == m_self.address || member.address.empty())
        return m_discarded;
    auto& peer = m_peers[member.address];
    peer.member.address = member.address;
    if (!member.domain.value().empty())
        peer.member = member;
    return peer;
}

void peer_directory::apply_table(std::map<std::string, fleet_member> const& rows)
{
    for (auto& [address, peer] : m_peers)
        peer.row.clear();
    for (auto const& [key, member] : rows)
        find_or_add(member).row = key;
    m_is_fleet_known = m_is_fleet_known || !rows.empty();
}

std::vector<std::string> peer_directory::addresses() const
{
    std::vector<std::string> all { m_self.address };
    for (auto const& [address, peer] : m_peers)
        all.push_back(address);
    return all;
}

void peer_directory::record_direct_report(fleet_member const& member, bool is_overloaded, instant now)
{
    auto& peer = find_or_add(member);
    peer.last_reported_at = now;
    peer.last_received_at = now;
    peer.is_overloaded = is_overloaded;
    if (!peer.is_connected)
        peer.next_attempt_at = now;
}

void peer_directory::record_connected(std::string const& address)
{
    auto& peer = find_or_add({ address, {}, 0 });
    peer.is_connected = true;
    peer.is_connecting = false;
    peer.backoff = milliseconds(0);
    peer.down_since = {};
}

void peer_directory::record_disconnected(std::string const& address, instant now, std::uint64_t draw)
{
    auto& peer = find_or_add({ address, {}, 0 });
    peer.is_connected = false;
    peer.is_connecting = false;
    if (peer.down_since == instant {})
        peer.down_since = now;
    peer.backoff = std::clamp(peer.backoff * 2, initial_backoff, max_backoff);
    auto const jitter
        = milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(peer.backoff.count())));
    peer.next_attempt_at = now + peer.backoff / 2 + jitter;
}

void peer_directory::remove_unreferenced(instant now)
{
    std::erase_if(m_peers, [now](auto const& entry) {
        auto const& peer = entry.second;
        bool const is_referenced = peer.is_seed || !peer.row.empty()
            || (peer.last_reported_at != instant {} && now - peer.last_reported_at < report_lifetime);
        return !is_referenced && !peer.is_connected && !peer.is_connecting;
    });
}

bool peer_directory::is_full_mesh() const { return size() <= m_max_full_mesh_routers; }

bool peer_directory::receives_own_reports(std::string const& address) const
{
    auto const found = m_peers.find(address);
    return is_full_mesh() || found == m_peers.end() || found->second.member.domain.value().empty()
        || is_own_domain(found->second);
}

bool peer_directory::is_delegate(instant now) const
{
    if (!m_started_at || now - *m_started_at < startup_listen_time)
        return false;
    return std::ranges::none_of(m_peers, [&](auto const& entry) {
        auto const& peer = entry.second;
        return is_own_domain(peer) && now - peer.last_received_at < report_timeout
            && precedes(peer.member, peer.is_overloaded, m_self, false);
    });
}

bool peer_directory::has_failed(domain_state const& state, instant now) const
{
    auto const remote_peer = m_peers.find(state.remote_peer);
    if (remote_peer == m_peers.end() || remote_peer->second.down_since != instant {})
        return true;
    return now - std::max(state.chosen_at, state.last_received_at) > remote_peer_timeout;
}

void peer_directory::replace_remote_peer(failure_domain const& domain, domain_state& state, instant now)
{
    if (auto const previous = m_peers.find(state.remote_peer); previous != m_peers.end())
        previous->second.avoided_until = now + remote_peer_avoid_time;
    peer_record* best = nullptr;
    for (auto& [address, peer] : m_peers) {
        if (peer.member.domain != domain)
            continue;
        auto const is_avoided = [now](peer_record const& candidate) { return now < candidate.avoided_until; };
        if (best == nullptr || is_avoided(peer) < is_avoided(*best)
            || (is_avoided(peer) == is_avoided(*best)
                && precedes(peer.member, peer.is_overloaded, best->member, best->is_overloaded)))
            best = &peer;
    }
    state.remote_peer.clear();
    if (best == nullptr)
        return;
    state.remote_peer = best->member.address;
    state.chosen_at = now;
    // Earlier failures of its connection do not count against it.
    best->down_since = {};
    best->next_attempt_at = now;
}

void peer_directory::choose_remote_peers(instant now)
{
    if (is_full_mesh() || !is_delegate(now)) {
        for (auto& [domain, state] : m_domains)
            state.remote_peer.clear();
        return;
    }
    for (auto const& [address, peer] : m_peers) {
        if (!peer.member.domain.value().empty() && !is_own_domain(peer))
            m_domains.try_emplace(peer.member.domain);
    }
    for (auto& [domain, state] : m_domains) {
        if (has_failed(state, now))
            replace_remote_peer(domain, state, now);
    }
}

bool peer_directory::should_connect(peer_record const& peer, instant now) const
{
    if (is_full_mesh() || peer.member.domain.value().empty() || is_own_domain(peer))
        return true;
    // Received reports do not justify a connection: two routers that each stay connected because the other reports to
    // it would never disconnect.
    return is_remote_peer(peer)
        || (peer.link_requested_at != instant {} && now - peer.link_requested_at < link_request_lifetime);
}

bool peer_directory::is_remote_peer(peer_record const& peer) const
{
    auto const domain = m_domains.find(peer.member.domain);
    return domain != m_domains.end() && domain->second.remote_peer == peer.member.address;
}

std::vector<std::string> peer_directory::wanted_reverse_links() const
{
    std::vector<std::string> links;
    for (auto const& [address, peer] : m_peers) {
        if (peer.is_connected && (peer.member.domain.value().empty() || is_remote_peer(peer)))
            links.push_back(address);
    }
    return links;
}

std::vector<std::string> peer_directory::take_due(instant now)
{
    if (!m_started_at)
        m_started_at = now;
    remove_unreferenced(now);
    choose_remote_peers(now);
    std::vector<std::string> due;
    for (auto& [address, peer] : m_peers) {
        if (peer.is_connected || peer.is_connecting || now < peer.next_attempt_at || !should_connect(peer, now))
            continue;
        peer.is_connecting = true;
        due.push_back(address);
    }
    return due;
}

std::vector<std::string> peer_directory::take_unneeded(instant now)
{
    std::vector<std::string> unneeded;
    for (auto& [address, peer] : m_peers) {
        if (!peer.is_connected || should_connect(peer, now))
            continue;
        peer.is_connected = false;
        unneeded.push_back(address);
    }
    return unneeded;
}

std::vector<std::string> peer_directory::stale_rows(instant now) const
{
    std::vector<std::string> rows;
    for (auto const& [address, peer] : m_peers) {
        // Rows of other failure domains are left to their own routers, since this router is not connected to them.
        if (receives_own_reports(address) && !peer.row.empty() && peer.down_since != instant {}
            && now - peer.down_since > stale_after)
            rows.push_back(peer.row);
    }
    return rows;
}

std::vector<fleet_member> peer_directory::members() const
{
    std::vector<fleet_member> members { m_self };
    for (auto const& [address, peer] : m_peers) {
        if (peer.down_since == instant {})
            members.push_back(peer.member);
    }
    return members;
}

} // namespace shedhill::peering
