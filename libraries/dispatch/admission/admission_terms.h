// SPDX-License-Identifier: BSD-2-Clause
// Determines a team's share status and the terms on which its requests are admitted. Requests to which a team is
// entitled may wait in an engine's queue and have cached prompt parts prefilled again; requests past the share use the
// remaining time and slots.
#pragma once

#include "libraries/dispatch/policy.h"

namespace shedhill::dispatch {

// Relation of a team's level to its share and to the levels of other teams.
enum class share_status {
    within_share,
    past_share,
    // Past its share, and above the even level: it received more than other teams that requested as much.
    ahead,
};

// The level of a team and the values that it is compared with; see team_ledger for the share and the even level.
struct team_account {
    // Weighted tokens of the team's requests admitted within the window.
    token_count level { 0 };
    token_count share { 0 };
    token_count even_level { 0 };
};

share_status share_status_of(team_account const& account);

// The conditions that an endpoint must meet for a request to be admitted, and how long the request waits for them.
struct admission_terms {
    // After this wait the request is refused, so that its caller can retry.
    milliseconds max_wait { 0 };
    // After this wait the request may go to an engine that has to prefill parts of its prompt that another engine has
    // cached.
    milliseconds patience { 0 };
    // Fraction of the endpoint's slots that may be in use.
    double max_load { 1 };
    // Fraction of the remaining time within which an engine with pending prefill must be estimated to start the
    // request.
    double queueing_fraction { 1 };
};

// Returns the terms of a plain service, whose slots are not divided by team.
admission_terms plain_terms(milliseconds objective, dispatch_policy const& policy);

// Returns the terms of an engine pool. The pool's scarcity, from 0 to 1, determines how much the share status matters:
// where nothing is scarce, requests past the share are admitted like those within it, and no request waits for the
// engine that has cached a part of its prompt.
admission_terms terms_of(share_status status, team_account const& account, milliseconds objective, double scarcity,
    dispatch_policy const& policy);

} // namespace shedhill::dispatch
