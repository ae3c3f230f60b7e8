// SPDX-License-Identifier: BSD-2-Clause
// The configuration in force: finds the route of a host and path, the pool by the route's split, the team of a key.
#pragma once

#include "libraries/dispatch/types.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace shedhill::dispatch {

enum class adoption { adopted, not_newer };

class route_table {
public:
    // Takes a configuration only if its revision is later than the one in force.
    adoption adopt(configuration learned);

    [[nodiscard]] bool has_configuration() const { return m_configuration.revision > 0; }
    [[nodiscard]] configuration const& current() const { return m_configuration; }

    // The route of the host whose prefix is the longest that begins the path, or none.
    [[nodiscard]] route const* find_route(std::string_view host, std::string_view path) const;
    [[nodiscard]] team_settings const* find_team(std::string const& key) const;
    [[nodiscard]] pool_settings const* find_pool(pool_name const& name) const;

    // The pool for one request. The draw decides in proportion to the weights.
    [[nodiscard]] static pool_name const* choose_pool(route const& from, std::uint64_t draw);

private:
    // Its revision never decreases.
    configuration m_configuration;
    // Derived from m_configuration: indices of the routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> m_routes_by_host;
    std::unordered_map<std::string, std::size_t> m_team_by_key;
    std::unordered_map<pool_name, std::size_t> m_pool_by_name;
};

} // namespace shedhill::dispatch
