// SPDX-License-Identifier: BSD-2-Clause
// Standing by level, terms by standing.
#include "libraries/dispatch/admission/admission_terms.h"

#include <algorithm>
#include <cmath>

namespace shedhill::dispatch {

namespace {

milliseconds part_of(milliseconds objective, double part)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(objective.count()) * part));
}

// The further a team is ahead of the even level, the less of an endpoint it may fill.
double most_load_past_share(team_account const& account, dispatch_policy const& policy)
{
    auto const even_level = static_cast<double>(std::max<token_count>(account.even_level, 1));
    auto const lead = static_cast<double>(account.level) / even_level - 1;
    return std::clamp(policy.load_past_share - policy.load_less_per_lead * lead, 0.0, policy.load_past_share);
}

} // namespace

team_standing standing_of(team_account const& account)
{
    if (account.level <= account.share)
        return team_standing::within_share;
    return account.level > account.even_level ? team_standing::ahead : team_standing::past_share;
}

admission_terms plain_terms(milliseconds objective, dispatch_policy const& policy)
{
    return { part_of(objective, policy.wait_plain), milliseconds(0), 1, 1 };
}

admission_terms terms_of(team_standing standing, team_account const& account, milliseconds objective, double scarcity,
    dispatch_policy const& policy)
{
    auto const patience_within = policy.patience_within_share * scarcity;
    if (standing == team_standing::within_share)
        return { part_of(objective, policy.wait_within_share), part_of(objective, patience_within), 1, 1 };
    auto const between = [scarcity](double idle, double scarce) { return std::lerp(idle, scarce, scarcity); };
    return { part_of(objective, between(policy.wait_within_share, policy.wait_past_share)),
        part_of(objective, between(0, policy.patience_past_share)), between(1, most_load_past_share(account, policy)),
        between(1, policy.queueing_past_share) };
}

} // namespace shedhill::dispatch
