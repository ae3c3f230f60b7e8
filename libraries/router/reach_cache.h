// SPDX-License-Identifier: BSD-2-Clause
// Caches the tier of each team at each endpoint for one revision, so that selectors are evaluated once for each pair.
#pragma once

#include "libraries/config/catalog.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace shedhill::router {

// The tiers by which the selectors of one revision let teams use endpoints.
class reach_cache {
public:
    explicit reach_cache(config::catalog const& catalog)
        : m_catalog(catalog)
    {
    }

    struct subject {
        team_name const& team;
        // The stable_hash of the name.
        std::uint64_t key { 0 };
    };

    struct target {
        endpoint_name const& endpoint;
        // The stable_hash of the name.
        std::uint64_t key { 0 };
    };

    // Returns the team's tier at the endpoint, or nothing if the team may not use it. Tier 0 is served before tier 1.
    [[nodiscard]] std::optional<std::uint8_t> tier(subject const& from, target const& to);

    // Whether any declared endpoint of the pool may serve the team.
    [[nodiscard]] bool can_reach(team_name const& team, pool_name const& pool);

private:
    void clear_if_revision_changed();
    [[nodiscard]] std::optional<std::uint8_t> compute_tier(team_name const& team, endpoint_name const& endpoint) const;

    config::catalog const& m_catalog;
    // The revision that the cached decisions belong to.
    revision m_revision {};
    std::unordered_map<std::uint64_t, std::optional<std::uint8_t>> m_tiers;
    std::unordered_map<std::uint64_t, bool> m_reachable;
};

} // namespace shedhill::router
