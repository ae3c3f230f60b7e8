// SPDX-License-Identifier: BSD-2-Clause
// Schedules which routers receive the list of all routers. The length of the list grows with the fleet, so a router
// sends it to a fixed number of its peers per second, in rotation; the peers add its entries to their own lists.
#pragma once

#include "base/units.h"

#include <string>
#include <vector>

namespace shedhill::peering {

class peer_rotation {
public:
    // Returns the peers that became due since the last call: the ones that follow the last served address in the sorted
    // list, each at most once.
    [[nodiscard]] std::vector<std::string> take_due(std::vector<std::string> const& domain_peers, instant now);

private:
    // Time between two turns: in the largest full mesh, of 11 peers, each peer is served about every four seconds.
    static constexpr milliseconds turn_interval { 350 };

    instant m_next_at {};
    // The peer served last.
    std::string m_last_address;
};

} // namespace shedhill::peering
