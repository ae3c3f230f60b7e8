// SPDX-License-Identifier: BSD-2-Clause
// Whose turn it is to be told which routers there are. The list is as long as the fleet, so a router tells so many
// neighbours a second, however many it has; what one was told reaches the others by what each of them tells.
#pragma once

#include "base/units.h"

#include <string>
#include <vector>

namespace shedhill::peering {

class member_turns {
public:
    // Of the neighbours, in order, those whose turn has come since the last call: the next ones after the last that was
    // told, and none twice.
    [[nodiscard]] std::vector<std::string> take_due(std::vector<std::string> const& neighbours, instant now);

private:
    // A neighbour's turn in a fleet in which all are connected to all comes each four seconds.
    static constexpr milliseconds turn { 350 };

    instant m_next_at {};
    // Told last.
    std::string m_last;
};

} // namespace shedhill::peering
