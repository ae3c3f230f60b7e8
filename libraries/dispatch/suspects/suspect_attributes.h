// SPDX-License-Identifier: BSD-2-Clause
// The attributes of a request that can be the reason why endpoints crash under it: its whole content, and each part of
// its prompt that it shares with other requests.
#pragma once

#include "libraries/dispatch/suspects/crash_record.h"
#include "libraries/dispatch/types.h"

#include <optional>

namespace shedhill::dispatch {

// Identifies a prompt part among a team's requests. No team can have another team's part suspected.
[[nodiscard]] request_identity identity_of_part(team_key team, std::uint64_t part);

// Calls the action with the identity of each part that other requests may share. The last part of a prompt belongs to
// its request or session.
template <typename Action>
void for_each_shared_part(team_key team, request_cost const& cost, Action&& action)
{
    for (std::size_t index = 0; index + 1 < cost.parts.size(); ++index)
        action(identity_of_part(team, cost.parts[index].id));
}

// Calls the action with the identity of each attribute. The content is known only while any request is suspected.
template <typename Action>
void for_each_attribute(
    team_key team, std::optional<content_hash> const& content, request_cost const& cost, Action&& action)
{
    if (content)
        action(request_identity { team, *content });
    for_each_shared_part(team, cost, action);
}

} // namespace shedhill::dispatch
