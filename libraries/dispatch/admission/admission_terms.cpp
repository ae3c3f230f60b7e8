// SPDX-License-Identifier: BSD-2-Clause
// Derives the share status from the level, and the terms from the status.
#include "libraries/dispatch/admission/admission_terms.h"

#include <algorithm>
#include <cmath>

namespace shedhill::dispatch {

namespace {

milliseconds fraction_of(milliseconds objective, double fraction)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(objective.count()) * fraction));
}

// Returns the maximum load of an endpoint for a team past its share. It decreases with the team's excess over the even
// level.
double max_load_past_share(team_account const& account, dispatch_policy const& policy)
{
    auto const even_level = static_cast<double>(std::max<token_count>(account.even_level, 1));
    auto const excess = static_cast<double>(account.level) / even_level - 1;
    return std::clamp(policy.load_past_share - policy.load_less_per_lead * excess, 0.0, policy.load_past_share);
}

} // namespace

share_status share_status_of(team_account const& account)
{
    if (account.level <= account.share)
        return share_status::within_share;
    return account.level > account.even_level ? share_status::ahead : share_status::past_share;
}

admission_terms plain_terms(milliseconds objective, dispatch_policy const& policy)
{
    return { fraction_of(objective, policy.wait_plain), milliseconds(0), 1, 1 };
}

admission_terms terms_of(share_status status, team_account const& account, milliseconds objective, double scarcity,
    dispatch_policy const& policy)
{
    auto const patience_within = policy.patience_within_share * scarcity;
    if (status == share_status::within_share)
        return { fraction_of(objective, policy.wait_within_share), fraction_of(objective, patience_within), 1, 1 };
    auto const interpolated = [scarcity](double idle, double scarce) { return std::lerp(idle, scarce, scarcity); };
    return { fraction_of(objective, interpolated(policy.wait_within_share, policy.wait_past_share)),
        fraction_of(objective, interpolated(0, policy.patience_past_share)),
        interpolated(1, max_load_past_share(account, policy)), interpolated(1, policy.queueing_past_share) };
}

} // namespace shedhill::dispatch
