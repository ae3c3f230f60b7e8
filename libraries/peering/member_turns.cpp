// SPDX-License-Identifier: BSD-2-Clause
// A round over the neighbours in order.
#include "libraries/peering/member_turns.h"

#include <algorithm>

namespace shedhill::peering {

std::vector<std::string> member_turns::take_due(std::vector<std::string> const& neighbours, instant now)
{
    std::vector<std::string> due;
    if (m_next_at == instant {})
        m_next_at = now;
    if (neighbours.empty()) {
        m_next_at = std::max(m_next_at, now);
        return due;
    }
    while (m_next_at <= now && due.size() < neighbours.size()) {
        auto const after = std::ranges::upper_bound(neighbours, m_last);
        m_last = after == neighbours.end() ? neighbours.front() : *after;
        due.push_back(m_last);
        m_next_at += turn;
    }
    // What was missed while nothing could be told is not made up for.
    m_next_at = std::max(m_next_at, now);
    return due;
}

} // namespace shedhill::peering
