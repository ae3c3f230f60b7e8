// SPDX-License-Identifier: BSD-2-Clause
// Remembers the sums of teams that were last reported, so that a message contains only those that changed: of sixty
// teams, one router serves a few in a tenth of a second.
#pragma once

#include "libraries/dispatch/events.h"

#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

class reported_usage {
public:
    // Returns the sums to report, given the current ones, and remembers them as reported. A team that is no longer
    // among them is reported once with zero sums.
    [[nodiscard]] std::vector<team_usage> take(std::vector<team_usage> const& current, report_scope scope);

private:
    std::unordered_map<team_key, team_usage> m_reported;
};

} // namespace shedhill::dispatch
