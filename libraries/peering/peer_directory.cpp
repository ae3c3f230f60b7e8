// SPDX-License-Identifier: BSD-2-Clause
// Knowledge of peers, with back-off and jitter, and the choice of contacts.
#include "libraries/peering/peer_directory.h"

#include <algorithm>
#include <tuple>

namespace shedhill::peering {

namespace {

constexpr milliseconds first_back_off { 150 };
constexpr milliseconds longest_back_off { 1500 };
constexpr milliseconds told_is_valid { 10000 };
constexpr milliseconds dead_after { 15000 };
// Routers of a failure domain are heard each 100 ms; one that was not for so long does not tell for it.
constexpr milliseconds heard_limit { 600 };
// A router that has just started has heard of nobody yet.
constexpr milliseconds first_listening { 700 };
// Sums from another failure domain come each 100 ms; connecting to a new contact takes about 10.
constexpr milliseconds contact_silence { 900 };
constexpr milliseconds contact_avoided { 4000 };
// A router that asked to be connected to asks again each second.
constexpr milliseconds link_back_time { 3000 };

// The order in which routers tell for their failure domain: who has the most to spend first.
bool goes_before(fleet_member const& one, bool one_is_aside, fleet_member const& other, bool other_is_aside)
{
    auto const key = [](fleet_member const& member, bool is_aside) {
        return std::tuple(is_aside, -static_cast<std::int64_t>(member.weight), std::string_view(member.address));
    };
    return key(one, one_is_aside) < key(other, other_is_aside);
}

} // namespace

peer_directory::peer& peer_directory::learn(fleet_member const& member)
{
    if (member.address == m_self.address || member.address.empty())
        return m_nobody;
    auto& known = m_peers[member.address];
    known.member.address = member.address;
    if (!member.domain.value().empty())
        known.member = member;
    return known;
}

void peer_directory::take_table(std::map<std::string, fleet_member> const& rows)
{
    for (auto& [address, known] : m_peers)
        known.row.clear();
    for (auto const& [key, member] : rows)
        learn(member).row = key;
    m_is_fleet_known = m_is_fleet_known || !rows.empty();
}

std::vector<std::string> peer_directory::addresses() const
{
    std::vector<std::string> all { m_self.address };
    for (auto const& [address, known] : m_peers)
        all.push_back(address);
    return all;
}

void peer_directory::note_heard(fleet_member const& member, bool is_aside, instant now)
{
    auto& known = learn(member);
    known.told_at = now;
    known.heard_at = now;
    known.is_aside = is_aside;
    if (!known.is_connected)
        known.next_try = now;
}

void peer_directory::note_connected(std::string const& address)
{
    auto& known = learn({ address, {}, 0 });
    known.is_connected = true;
    known.is_trying = false;
    known.back_off = milliseconds(0);
    known.down_since = {};
}

void peer_directory::note_lost(std::string const& address, instant now, std::uint64_t draw)
{
    auto& known = learn({ address, {}, 0 });
    known.is_connected = false;
    known.is_trying = false;
    if (known.down_since == instant {})
        known.down_since = now;
    known.back_off = std::clamp(known.back_off * 2, first_back_off, longest_back_off);
    auto const jitter
        = milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(known.back_off.count())));
    known.next_try = now + known.back_off / 2 + jitter;
}

void peer_directory::forget_unvouched(instant now)
{
    std::erase_if(m_peers, [now](auto const& entry) {
        auto const& known = entry.second;
        bool const is_vouched_for = known.is_seed || !known.row.empty()
            || (known.told_at != instant {} && now - known.told_at < told_is_valid);
        return !is_vouched_for && !known.is_connected && !known.is_trying;
    });
}

bool peer_directory::is_full_mesh() const { return size() <= m_most_in_full_mesh; }

bool peer_directory::is_told_singly(std::string const& address) const
{
    auto const found = m_peers.find(address);
    return is_full_mesh() || found == m_peers.end() || found->second.member.domain.value().empty()
        || is_own_domain(found->second);
}

bool peer_directory::is_teller(instant now) const
{
    if (!m_started_at || now - *m_started_at < first_listening)
        return false;
    return std::ranges::none_of(m_peers, [&](auto const& entry) {
        auto const& known = entry.second;
        return is_own_domain(known) && now - known.heard_at < heard_limit
            && goes_before(known.member, known.is_aside, m_self, false);
    });
}

bool peer_directory::has_failed(domain_state const& state, instant now) const
{
    auto const contact = m_peers.find(state.contact);
    if (contact == m_peers.end() || contact->second.down_since != instant {})
        return true;
    return now - std::max(state.chosen_at, state.heard_at) > contact_silence;
}

void peer_directory::replace_contact(failure_domain const& domain, domain_state& state, instant now)
{
    if (auto const before = m_peers.find(state.contact); before != m_peers.end())
        before->second.avoided_until = now + contact_avoided;
    peer* best = nullptr;
    for (auto& [address, known] : m_peers) {
        if (known.member.domain != domain)
            continue;
        auto const is_worse = [now](peer const& candidate) { return now < candidate.avoided_until; };
        if (best == nullptr || is_worse(known) < is_worse(*best)
            || (is_worse(known) == is_worse(*best)
                && goes_before(known.member, known.is_aside, best->member, best->is_aside)))
            best = &known;
    }
    state.contact.clear();
    if (best == nullptr)
        return;
    state.contact = best->member.address;
    state.chosen_at = now;
    // What was known of its connection is of an earlier time.
    best->down_since = {};
    best->next_try = now;
}

void peer_directory::choose_contacts(instant now)
{
    if (is_full_mesh() || !is_teller(now)) {
        for (auto& [domain, state] : m_domains)
            state.contact.clear();
        return;
    }
    for (auto const& [address, known] : m_peers) {
        if (!known.member.domain.value().empty() && !is_own_domain(known))
            m_domains.try_emplace(known.member.domain);
    }
    for (auto& [domain, state] : m_domains) {
        if (has_failed(state, now))
            replace_contact(domain, state, now);
    }
}

bool peer_directory::is_wanted(peer const& known, instant now) const
{
    if (is_full_mesh() || known.member.domain.value().empty() || is_own_domain(known))
        return true;
    // Not whoever is heard: two routers that tell each other only because the other does would never cease.
    return is_contact(known) || (known.wanted_at != instant {} && now - known.wanted_at < link_back_time);
}

bool peer_directory::is_contact(peer const& known) const
{
    auto const domain = m_domains.find(known.member.domain);
    return domain != m_domains.end() && domain->second.contact == known.member.address;
}

std::vector<std::string> peer_directory::wanted_links() const
{
    std::vector<std::string> wanted;
    for (auto const& [address, known] : m_peers) {
        if (known.is_connected && (known.member.domain.value().empty() || is_contact(known)))
            wanted.push_back(address);
    }
    return wanted;
}

std::vector<std::string> peer_directory::take_due(instant now)
{
    if (!m_started_at)
        m_started_at = now;
    forget_unvouched(now);
    choose_contacts(now);
    std::vector<std::string> due;
    for (auto& [address, known] : m_peers) {
        if (known.is_connected || known.is_trying || now < known.next_try || !is_wanted(known, now))
            continue;
        known.is_trying = true;
        due.push_back(address);
    }
    return due;
}

std::vector<std::string> peer_directory::take_needless(instant now)
{
    std::vector<std::string> needless;
    for (auto& [address, known] : m_peers) {
        if (!known.is_connected || is_wanted(known, now))
            continue;
        known.is_connected = false;
        needless.push_back(address);
    }
    return needless;
}

std::vector<std::string> peer_directory::rows_of_the_dead(instant now) const
{
    std::vector<std::string> rows;
    for (auto const& [address, known] : m_peers) {
        // The routers of another failure domain are not kept connected: what they are, their neighbours know.
        if (is_told_singly(address) && !known.row.empty() && known.down_since != instant {}
            && now - known.down_since > dead_after)
            rows.push_back(known.row);
    }
    return rows;
}

std::vector<fleet_member> peer_directory::members() const
{
    std::vector<fleet_member> members { m_self };
    for (auto const& [address, known] : m_peers) {
        if (known.down_since == instant {})
            members.push_back(known.member);
    }
    return members;
}

} // namespace shedhill::peering
