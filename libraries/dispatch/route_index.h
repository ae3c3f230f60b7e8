// SPDX-License-Identifier: BSD-2-Clause
// Finds the route that serves a host and path: the one with the longest prefix of the path. A search takes one look-up
// for each length that the prefixes of the host have, however many routes there are.
#pragma once

#include "libraries/dispatch/types.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

class route_index {
public:
    route_index() = default;
    // Indexes the routes, which must outlive the index unchanged. Of two routes with the same host and prefix, the
    // first one counts.
    explicit route_index(std::vector<route> const& routes);
    ~route_index() = default;
    // Copies are deleted because a copy would refer to the routes of the original.
    route_index(route_index const&) = delete;
    route_index& operator=(route_index const&) = delete;
    route_index(route_index&&) = default;
    route_index& operator=(route_index&&) = default;

    // Returns the route that serves the host and path, or null.
    [[nodiscard]] route const* find(std::string_view host, std::string_view path) const;
    // The number of look-ups so far.
    [[nodiscard]] std::uint64_t lookups() const { return m_lookups; }

private:
    struct host_routes {
        // The lengths of the prefixes, longest first, without duplicates.
        std::vector<std::size_t> lengths;
        std::unordered_map<std::string_view, route const*> by_prefix;
    };

    std::unordered_map<std::string_view, host_routes> m_hosts;
    mutable std::uint64_t m_lookups { 0 };
};

// The routes of one version of the configuration with their index.
struct indexed_routes {
    std::vector<route> const& routes;
    route_index const& index;
};

} // namespace shedhill::dispatch
