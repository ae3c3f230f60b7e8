// SPDX-License-Identifier: BSD-2-Clause
// The current configuration. Finds the route of a host and path, the pool by the route's weights, and the team of a
// key.
#pragma once

#include "libraries/dispatch/route_index.h"
#include "libraries/dispatch/types.h"

#include <string>
#include <string_view>
#include <unordered_map>

namespace shedhill::dispatch {

enum class adoption { adopted, not_newer };

class route_table {
public:
    // Replaces the current configuration if the revision of the received one is later, and leaves the replaced one in
    // `received` and the index of its routes in `replaced_index`.
    adoption adopt(configuration& received, route_index& replaced_index);
    adoption adopt(configuration received);

    [[nodiscard]] bool has_configuration() const { return m_configuration.revision > 0; }
    [[nodiscard]] configuration const& current() const { return m_configuration; }
    [[nodiscard]] indexed_routes current_routes() const { return { m_configuration.routes, m_route_index }; }

    // Returns the route of the host with the longest prefix of the path, or null.
    [[nodiscard]] route const* find_route(std::string_view host, std::string_view path) const
    {
        return m_route_index.find(host, path);
    }
    [[nodiscard]] team_settings const* find_team(std::string const& key) const;
    [[nodiscard]] pool_settings const* find_pool(pool_name const& name) const;

    // Chooses the pool for one request by the random draw, in proportion to the weights. Returns null without pools.
    [[nodiscard]] static pool_name const* choose_pool(route const& from, std::uint64_t draw);

private:
    // Its revision never decreases.
    configuration m_configuration;
    // The members below are derived from m_configuration.
    route_index m_route_index;
    std::unordered_map<std::string, std::size_t> m_team_by_key;
    std::unordered_map<pool_name, std::size_t> m_pool_by_name;
};

} // namespace shedhill::dispatch
