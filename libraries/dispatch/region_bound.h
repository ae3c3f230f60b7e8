// SPDX-License-Identifier: BSD-2-Clause
// The regions in which a request may be served. Routes and teams may be bound to regions, for example by data residency
// laws. A request bound by both is served only in regions that both allow.
#pragma once

#include "base/identifiers.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace shedhill::dispatch {

// The region of each failure domain, as the deployment declares it.
using region_map = std::map<failure_domain, region_name>;

class region_bound {
public:
    // Restricts the allowed regions to those of the list. An empty list is no restriction.
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

    // Whether the region is allowed. A bound request is never allowed in an unknown region, which has an empty name.
    [[nodiscard]] bool allows(region_name const& region) const
    {
        return !m_allowed || (!region.value().empty() && std::ranges::find(*m_allowed, region) != m_allowed->end());
    }

private:
    // Has no value while every region is allowed; the list is empty if no region is allowed.
    std::optional<std::vector<region_name>> m_allowed;
};

} // namespace shedhill::dispatch
