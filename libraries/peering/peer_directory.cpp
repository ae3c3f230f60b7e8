// SPDX-License-Identifier: BSD-2-Clause
// Knowledge of peers, with back-off and jitter.
#include "libraries/peering/peer_directory.h"

#include <algorithm>

namespace shedhill::peering {

namespace {

constexpr milliseconds first_back_off { 150 };
constexpr milliseconds longest_back_off { 1500 };
constexpr milliseconds told_is_valid { 10000 };
constexpr milliseconds dead_after { 15000 };

} // namespace

peer_directory::peer& peer_directory::learn(std::string const& address)
{
    return address == m_own_address || address.empty() ? m_self : m_peers[address];
}

void peer_directory::take_table(std::map<std::string, std::string> const& rows)
{
    for (auto& [address, known] : m_peers)
        known.row.clear();
    for (auto const& [key, address] : rows)
        learn(address).row = key;
}

void peer_directory::note_heard(std::string const& address, instant now)
{
    auto& known = learn(address);
    known.told_at = now;
    if (!known.is_connected)
        known.next_try = now;
}

void peer_directory::note_connected(std::string const& address)
{
    auto& known = learn(address);
    known.is_connected = true;
    known.is_trying = false;
    known.back_off = milliseconds(0);
    known.down_since = {};
}

void peer_directory::note_lost(std::string const& address, instant now, std::uint64_t draw)
{
    auto& known = learn(address);
    known.is_connected = false;
    known.is_trying = false;
    if (known.down_since == instant {})
        known.down_since = now;
    known.back_off = std::clamp(known.back_off * 2, first_back_off, longest_back_off);
    auto const jitter
        = milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(known.back_off.count())));
    known.next_try = now + known.back_off / 2 + jitter;
}

std::vector<std::string> peer_directory::take_due(instant now)
{
    std::erase_if(m_peers, [now](auto const& entry) {
        auto const& known = entry.second;
        bool const is_vouched_for = known.is_seed || !known.row.empty()
            || (known.told_at != instant {} && now - known.told_at < told_is_valid);
        return !is_vouched_for && !known.is_connected && !known.is_trying;
    });
    std::vector<std::string> due;
    for (auto& [address, known] : m_peers) {
        if (known.is_connected || known.is_trying || now < known.next_try)
            continue;
        known.is_trying = true;
        due.push_back(address);
    }
    return due;
}

std::vector<std::string> peer_directory::rows_of_the_dead(instant now) const
{
    std::vector<std::string> rows;
    for (auto const& [address, known] : m_peers) {
        if (!known.row.empty() && known.down_since != instant {} && now - known.down_since > dead_after)
            rows.push_back(known.row);
    }
    return rows;
}

std::vector<std::string> peer_directory::connected() const
{
    std::vector<std::string> addresses;
    for (auto const& [address, known] : m_peers) {
        if (known.is_connected)
            addresses.push_back(address);
    }
    return addresses;
}

std::size_t peer_directory::size() const { return m_peers.size() + 1; }

} // namespace shedhill::peering
