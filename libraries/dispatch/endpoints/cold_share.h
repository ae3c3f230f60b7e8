// SPDX-License-Identifier: BSD-2-Clause
// Computes this router's share of the requests that the whole fleet may send to a cold endpoint per second. Routers
// share no counter: they can be partitioned, start without state and be added, and the sum of their shares must still
// respect the limit. Each router divides the limit equally among the routers that it knows; the remainder goes to the
// first routers by rendezvous hashing, so that all routers compute the same shares.
//
// At most half of the limit is distributed. Therefore two halves of a partitioned fleet that each believe the other
// gone, or an old list and a new one with twice as many routers, together stay within the limit; a property test covers
// 2 to 300 routers.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// The fleet may send `per_second * overage + slack` requests to a cold endpoint in any second. `per_second` is the rate
// that the pool's endpoints sustain while cold.
struct cold_bounds {
    double overage { 1 };
    double slack { 0 };
};

class cold_share {
public:
    explicit cold_share(cold_bounds bounds = {})
        : m_bounds(bounds)
    {
    }

    // Replaces the list of all routers of the fleet. Routers, this one (`self`) included, are identified by their
    // addresses.
    void apply_routers(std::vector<std::string> routers, std::string const& self, instant now);

    // Returns how many requests this router may send to the endpoint within the window of a cold_period. Returns 0
    // while the list of routers is unknown, and for one window after the first list: the router does not know what it
    // sent before a restart.
    [[nodiscard]] std::uint32_t allowance(endpoint_key endpoint, double per_second, instant now);

private:
    [[nodiscard]] std::uint32_t own_quota(endpoint_key endpoint, std::uint32_t distributed) const;

    cold_bounds m_bounds;
    std::vector<std::string> m_routers;
    std::string m_self;
    // When the first list of routers was received; the epoch while none has been.
    instant m_routers_known_since {};
    struct router_quota {
        double per_second { 0 };
        std::uint32_t requests { 0 };
    };
    // Cache of the shares derived from m_routers, by endpoint.
    std::unordered_map<endpoint_key, router_quota> m_quotas;
};

} // namespace shedhill::dispatch
