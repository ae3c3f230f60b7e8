// SPDX-License-Identifier: BSD-2-Clause
// Walks round the sorted list of peers.
#include "libraries/peering/peer_rotation.h"

#include <algorithm>

namespace shedhill::peering {

std::vector<std::string> peer_rotation::take_due(std::vector<std::string> const& domain_peers, instant now)
{
    std::vector<std::string> due;
    if (m_next_at == instant {})
        m_next_at = now;
    if (domain_peers.empty()) {
        m_next_at = std::max(m_next_at, now);
        return due;
    }
    while (m_next_at <= now && due.size() < domain_peers.size()) {
        auto const next = std::ranges::upper_bound(domain_peers, m_last_address);
        m_last_address = next == domain_peers.end() ? domain_peers.front() : *next;
        due.push_back(m_last_address);
        m_next_at += turn_interval;
    }
    // No peer is served twice in one call: turns in excess of the number of peers are dropped.
    m_next_at = std::max(m_next_at, now);
    return due;
}

} // namespace shedhill::peering
