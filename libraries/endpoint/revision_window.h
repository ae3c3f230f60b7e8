// SPDX-License-Identifier: BSD-2-Clause
// Determines whether a router's revision is stale: whether this endpoint received a later one at least the grace period
// ago.
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

    // Records a revision that a router sent.
    void record(revision seen, instant now)
    {
        if (seen > latest())
            m_observations.push_back({ seen, now });
        while (m_observations.size() > 1 && now - m_observations[1].at >= m_grace)
            m_observations.pop_front();
    }

    [[nodiscard]] bool is_stale(revision offered, instant now) const
    {
        auto const is_newer_and_due
            = [&](observation const& observed) { return now - observed.at >= m_grace && observed.seen > offered; };
        return std::ranges::any_of(m_observations, is_newer_and_due);
    }

    // Returns the latest recorded revision, or zero.
    [[nodiscard]] revision latest() const { return m_observations.empty() ? revision() : m_observations.back().seen; }

private:
    struct observation {
        revision seen;
        instant at;
    };

    milliseconds m_grace;
    // The revisions in the order in which they first exceeded all earlier ones. Both members increase from front to
    // back.
    std::deque<observation> m_observations;
};

} // namespace shedhill::endpoint
