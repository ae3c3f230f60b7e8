// SPDX-License-Identifier: BSD-2-Clause
// How a team stands, and on what terms its requests are let in. What is owed to a team may stand in an engine's queue
// and have parts of prompts read anew; what is past that fills the time and the places that are left over.
#pragma once

#include "libraries/dispatch/policy.h"

namespace shedhill::dispatch {

// How a request's team stands against its share and the other teams.
enum class team_standing {
    within_share,
    past_share,
    // Past its share, and given more than others that ask for as much.
    ahead,
};

// What a team was admitted within the window, and what that is compared with; see team_ledger.
struct team_account {
    token_count level { 0 };
    token_count share { 0 };
    token_count even_level { 0 };
};

team_standing standing_of(team_account const& account);

// What an engine must offer for a request to be let in, and how long the request waits for that.
struct admission_terms {
    // Then it is refused, so that it can come back.
    milliseconds longest_wait { 0 };
    // After so long a wait it may go where parts of its prompt are read anew that another engine keeps.
    milliseconds patience { 0 };
    // Only the endpoint's places up to this part may be taken.
    double most_load { 1 };
    // The part of the time left within which an engine that still has prompts to read must be foreseen to begin it.
    double queueing_part { 1 };
};

// Of a plain service, whose slots are shared out to whoever asks.
admission_terms plain_terms(milliseconds objective, dispatch_policy const& policy);

// The scarcity of the pool, from 0 to 1, decides how far the standing counts: where nothing is scarce, what is past its
// share is let in like what is owed, and nobody waits for the engine that keeps a part.
admission_terms terms_of(team_standing standing, team_account const& account, milliseconds objective, double scarcity,
    dispatch_policy const& policy);

} // namespace shedhill::dispatch
