// SPDX-License-Identifier: BSD-2-Clause
// What each team was given of late, here and at the other routers: the level by which waiting requests are ordered.
// Serving the lowest level first leads to max-min shares of whatever the endpoints can do.
#pragma once

#include "libraries/dispatch/events.h"
#include "libraries/dispatch/sliding_sum.h"

#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

class team_ledger {
public:
    explicit team_ledger(milliseconds window)
        : m_window(window)
    {
    }

    // Charges the expected cost at admission; a negative amount corrects it at the end.
    void charge(team_name const& team, instant now, token_count amount);
    [[nodiscard]] token_count level(team_name const& team, instant now);

    // Another router's charges within the window replace what it told before.
    void take_report(vm_name const& peer, std::vector<team_usage> const& teams);
    void forget_peer(vm_name const& peer);

    // This router's own charges, for the others.
    [[nodiscard]] std::vector<team_usage> own_usage(instant now);

private:
    static constexpr std::size_t window_spans = 16;

    milliseconds m_window;
    std::unordered_map<team_name, sliding_sum<window_spans>> m_own;
    std::unordered_map<vm_name, std::vector<team_usage>> m_reports;
    // Derived from m_reports: their sum for each team.
    std::unordered_map<team_name, token_count> m_others;
};

} // namespace shedhill::dispatch
