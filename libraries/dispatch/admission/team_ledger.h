// SPDX-License-Identifier: BSD-2-Clause
// What each team asked for and was given of late, here and at the other routers: its level, by which waiting requests
// are ordered, and the max-min share of what all endpoints produce.
#pragma once

#include "libraries/dispatch/admission/fading_sum.h"
#include "libraries/dispatch/events.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// Whether a report counts in what its reader tells of its own failure domain.
enum class source_place { own_domain, elsewhere };

// Its sums fade with half of the window as their time; where amounts come evenly they are those of the window.
class team_ledger {
public:
    explicit team_ledger(milliseconds window);

    void note_asked(team_key team, instant now, token_count amount);
    // Charges the expected cost at admission; a negative amount corrects it at the end.
    void charge(team_key team, instant now, token_count amount);
    [[nodiscard]] token_count level(team_key team, instant now);

    // The sums within the window of another router, or of another failure domain. A whole report replaces all that the
    // source told before, changes replace it team by team; so a report that is repeated adds nothing.
    void take_report(peer_report const& report, source_place place, instant now);
    void forget(report_source const& source);

    // Computes the shares anew from what all teams ask for, at the rate that is owed to all together.
    void update_shares(token_count tokens_per_second, instant now);
    // How long the fleet's sums have been known, up to the window.
    [[nodiscard]] milliseconds observed_span(instant now) const;
    // What a team may have within a window, or in the time for which the sums are known and a little more: routers that
    // all start at once know of nothing that was admitted, and would let in a whole window's share of all teams in a
    // moment. Without a limit while none was computed.
    [[nodiscard]] token_count share() const { return m_share; }
    // What each team that asked for more would have, had all that was admitted within the window been shared evenly;
    // without a limit where everyone got what it asked for.
    [[nodiscard]] token_count even_level() const { return m_even_level; }

    // This router's own sums, for the others.
    [[nodiscard]] std::vector<team_usage> own_usage(instant now);
    // The same, added to those of the routers of its failure domain, for other failure domains.
    [[nodiscard]] std::vector<team_usage> domain_usage(instant now);

private:
    static constexpr std::size_t window_spans = 16;

    struct own_sums {
        explicit own_sums(milliseconds window);
        fading_sum<window_spans> asked;
        fading_sum<window_spans> admitted;
    };

    using usage_by_team = std::unordered_map<team_key, team_usage>;

    struct report {
        source_place place { source_place::elsewhere };
        usage_by_team teams;
    };

    own_sums& sums_of(team_key team);
    void add_told(report& told, team_usage const& usage);

    milliseconds m_window;
    // Since when some router has known the sums; none before the first computation.
    std::optional<instant> m_known_since;
    std::unordered_map<team_key, own_sums> m_own;
    std::unordered_map<report_source, report> m_reports;
    // Derived from m_reports: their sums for each team, and those of this failure domain's routers alone.
    usage_by_team m_others;
    usage_by_team m_neighbours;
    token_count m_share;
    token_count m_even_level;
};

} // namespace shedhill::dispatch
