// SPDX-License-Identifier: BSD-2-Clause
// Which revision a router must have reached to be listened to: one that was already seen here a while ago.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <algorithm>
#include <deque>

namespace shedhill::endpoint {

class revision_window {
public:
    explicit revision_window(milliseconds grace)
        : m_grace(grace)
    {
    }

    void note(revision seen, instant now)
    {
        if (seen > latest())
            m_seen.push_back({ seen, now });
        while (m_seen.size() > 1 && now - m_seen[1].at >= m_grace)
            m_seen.pop_front();
    }

    [[nodiscard]] bool is_stale(revision offered, instant now) const
    {
        auto const is_due = [&](sighting const& one) { return now - one.at >= m_grace && one.seen > offered; };
        return std::ranges::any_of(m_seen, is_due);
    }

    [[nodiscard]] revision latest() const { return m_seen.empty() ? revision() : m_seen.back().seen; }

private:
    struct sighting {
        revision seen;
        instant at;
    };

    milliseconds m_grace;
    // Both members increase from front to back.
    std::deque<sighting> m_seen;
};

} // namespace shedhill::endpoint
