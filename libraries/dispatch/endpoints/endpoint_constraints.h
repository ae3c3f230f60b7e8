// SPDX-License-Identifier: BSD-2-Clause
// The constraints that limit which endpoints of a pool may serve a request.
#pragma once

#include "base/identifiers.h"
#include "libraries/dispatch/region_bound.h"

#include <optional>

namespace shedhill::dispatch {

struct endpoint_constraints {
    // The regions that the route and the team allow.
    region_bound regions {};
    // The software that began the stream. Another version's events do not fit to those that the caller has received.
    std::optional<software_key> software {};

    [[nodiscard]] bool is_bound() const { return regions.is_bound() || software.has_value(); }
    [[nodiscard]] bool allows(region_name const& region, software_key version) const
    {
        return regions.allows(region) && (!software || *software == version);
    }
};

} // namespace shedhill::dispatch
