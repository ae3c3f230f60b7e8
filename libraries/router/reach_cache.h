// SPDX-License-Identifier: BSD-2-Clause
// Remembers, for one revision, in which tier a team stands at an endpoint. Selectors are matched once for each pair.
#pragma once

#include "libraries/config/catalog.h"

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace shedhill::router {

class reach_cache {
public:
    explicit reach_cache(config::catalog const& catalog)
        : m_catalog(catalog)
    {
    }

    struct subject {
        team_name const& team;
        // stable_hash of the name.
        std::uint64_t key { 0 };
    };

    struct target {
        endpoint_name const& endpoint;
        // stable_hash of the name.
        std::uint64_t key { 0 };
    };

    // The team's tier at the endpoint: 0 is served before 1. Nothing if it may not go there.
    [[nodiscard]] std::optional<std::uint8_t> tier(subject const& from, target const& to);

    // Whether any declared endpoint of the pool may serve the team.
    [[nodiscard]] bool can_reach(team_name const& team, pool_name const& pool);

private:
    void forget_if_changed();
    [[nodiscard]] std::optional<std::uint8_t> decide(team_name const& team, endpoint_name const& endpoint) const;

    config::catalog const& m_catalog;
    // The revision that everything below holds for.
    revision m_revision {};
    std::unordered_map<std::uint64_t, std::optional<std::uint8_t>> m_tiers;
    std::unordered_map<std::uint64_t, bool> m_reachable;
};

} // namespace shedhill::router
