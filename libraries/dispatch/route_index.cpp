// SPDX-License-Identifier: BSD-2-Clause
// Implements the index by one hash table of prefixes for each host.
#include "libraries/dispatch/route_index.h"

#include <algorithm>
#include <functional>

namespace shedhill::dispatch {

route_index::route_index(std::vector<route> const& routes)
{
    for (auto const& indexed : routes) {
        auto& host = m_hosts[indexed.host];
        if (!host.by_prefix.emplace(indexed.path_prefix, &indexed).second)
            continue;
        auto const length = indexed.path_prefix.size();
        auto const place = std::ranges::lower_bound(host.lengths, length, std::greater {});
        if (place == host.lengths.end() || *place != length)
            host.lengths.insert(place, length);
    }
}

route const* route_index::find(std::string_view host, std::string_view path) const
{
    auto const found = m_hosts.find(host);
    if (found == m_hosts.end())
        return nullptr;
    for (auto const length : found->second.lengths) {
        if (length > path.size())
            continue;
        ++m_lookups;
        auto const match = found->second.by_prefix.find(path.substr(0, length));
        if (match != found->second.by_prefix.end())
            return match->second;
    }
    return nullptr;
}

} // namespace shedhill::dispatch
