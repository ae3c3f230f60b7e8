// SPDX-License-Identifier: BSD-2-Clause
// Remembers which pools a route's streams may have begun at before the configuration moved the route to others.
#pragma once

#include "libraries/dispatch/route_index.h"
#include "libraries/dispatch/types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

class pool_changes {
public:
    // Records the routes whose requests went to other pools before. `lifetime` is the time for which a stream may be
    // resumed. Returns whether there are any.
    bool record(indexed_routes before, indexed_routes after, milliseconds lifetime, instant now);
    // Returns the pools that served the route's requests within the lifetime of a stream before a change.
    [[nodiscard]] std::vector<pool_name> former_pools_of(route const& of, instant now) const;
    [[nodiscard]] bool is_empty() const { return m_former.empty(); }
    void forget_old(instant now);
    // The number of routes that were examined to find the one that serves a path.
    [[nodiscard]] std::uint64_t examined_routes() const { return m_examined_routes; }

private:
    struct former_pool {
        pool_name pool;
        instant until {};
    };
    static std::string key_of(route const& of) { return of.host + of.path_prefix; }
    bool add(route const& changed, route const& earlier, instant until);

    std::unordered_map<std::string, std::vector<former_pool>> m_former;
    std::uint64_t m_examined_routes { 0 };
};

} // namespace shedhill::dispatch
