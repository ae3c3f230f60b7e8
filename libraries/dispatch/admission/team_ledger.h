// SPDX-License-Identifier: BSD-2-Clause
// Tracks what each team recently requested and received, at this router and at the others: a team's level, by which
// waiting requests are ordered, and the max-min fair share of the throughput of all endpoints.
#pragma once

#include "libraries/dispatch/admission/decaying_sum.h"
#include "libraries/dispatch/events.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// Whether a report counts toward the sums that its receiver reports for its own failure domain.
enum class report_origin { own_domain, elsewhere };

// The sums decay with half of the window as time constant; where amounts arrive evenly they equal the sums over the
// window.
class team_ledger {
public:
    explicit team_ledger(milliseconds window);

    void record_requested(team_key team, instant now, token_count amount);
    // Charges the expected cost at admission; a negative amount corrects the charge at the end of the request.
    void charge(team_key team, instant now, token_count amount);
    [[nodiscard]] token_count level(team_key team, instant now);

    // Stores the sums of another router or failure domain. A whole report replaces everything that the source reported
    // before, and a report of changes replaces it team by team; a repeated report therefore adds nothing.
    void apply_report(peer_report const& report, report_origin origin, instant now);
    void forget(report_source const& source);

    // Recomputes the share and the even level from what all teams requested. The share divides the configured
    // throughput of all endpoints together; 0 means that it is unknown.
    void update_shares(token_count tokens_per_second, instant now);
    // Returns for how long the fleet's sums have been observed, up to the window.
    [[nodiscard]] milliseconds observed_span(instant now) const;
    // The tokens to which a team is entitled within the window or, if that is shorter, within the observed time plus an
    // initial span: routers that all start at once know nothing of admitted requests, and would admit a whole window's
    // share of all teams at once. Unlimited until the first computation, and while the throughput is unknown or
    // meets all requests.
    [[nodiscard]] token_count share() const { return m_share; }
    // The level that each team with unmet demand would have if everything admitted within the window had been divided
    // by max-min fairness; unlimited where every team received what it requested.
    [[nodiscard]] token_count even_level() const { return m_even_level; }

    // Returns this router's own sums, for reports to other routers.
    [[nodiscard]] std::vector<team_usage> own_usage(instant now);
    // Returns the same plus the sums of the other routers of this failure domain, for reports to other failure domains.
    [[nodiscard]] std::vector<team_usage> domain_usage(instant now);

private:
    static constexpr std::size_t window_spans = 16;

    struct own_sums {
        explicit own_sums(milliseconds window);
        decaying_sum<window_spans> requested;
        decaying_sum<window_spans> admitted;
    };

    using usage_by_team = std::unordered_map<team_key, team_usage>;

    struct report {
        report_origin origin { report_origin::elsewhere };
        usage_by_team teams;
    };

    own_sums& sums_of(team_key team);
    void replace_usage(report& source, team_usage const& usage);

    milliseconds m_window;
    // Since when any router has observed the sums; empty before the first computation.
    std::optional<instant> m_observed_since;
    std::unordered_map<team_key, own_sums> m_own;
    std::unordered_map<report_source, report> m_reports;
    // Derived from m_reports: the sums of each team over all sources, and over the routers of this failure domain
    // alone.
    usage_by_team m_others;
    usage_by_team m_domain_peers;
    token_count m_share;
    token_count m_even_level;
};

} // namespace shedhill::dispatch
