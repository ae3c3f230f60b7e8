// SPDX-License-Identifier: BSD-2-Clause
// Computes the difference from the last report.
#include "libraries/dispatch/admission/reported_usage.h"

#include <utility>

namespace shedhill::dispatch {

std::vector<team_usage> reported_usage::take(std::vector<team_usage> const& current, report_scope scope)
{
    auto before = std::exchange(m_reported, {});
    std::vector<team_usage> changed;
    for (auto const& usage : current) {
        m_reported[usage.team] = usage;
        auto const previous = before.extract(usage.team);
        if (previous.empty() || previous.mapped() != usage)
            changed.push_back(usage);
    }
    for (auto const& [team, usage] : before)
        changed.push_back({ team, 0, 0 });
    return scope == report_scope::whole ? current : changed;
}

} // namespace shedhill::dispatch
