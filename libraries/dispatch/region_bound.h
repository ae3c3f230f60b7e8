// SPDX-License-Identifier: BSD-2-Clause
// Where a request may be served: a route or a team may be bound to regions, say by a law on what leaves a country.
// Whoever is bound by both is served where both allow it.
#pragma once

#include "base/identifiers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace shedhill::dispatch {

// The region of each failure domain, as the deployment tells.
using region_map = std::map<failure_domain, region_name>;

class region_bound {
public:
    // An empty list binds nobody.
    void limit_to(std::vector<region_name> const& regions)
    {
        if (regions.empty())
            return;
        if (!m_allowed) {
            m_allowed = regions;
            return;
        }
        std::erase_if(
            *m_allowed, [&](region_name const& region) { return std::ranges::find(regions, region) == regions.end(); });
    }

    [[nodiscard]] bool is_bound() const { return m_allowed.has_value(); }

    // A region that is not known is allowed to nobody who is bound.
    [[nodiscard]] bool allows(region_name const& region) const
    {
        return !m_allowed || (!region.value().empty() && std::ranges::find(*m_allowed, region) != m_allowed->end());
    }

private:
    // None where every region is allowed; empty where none is left.
    std::optional<std::vector<region_name>> m_allowed;
};

} // namespace shedhill::dispatch
