// SPDX-License-Identifier: BSD-2-Clause
// The order of the checks decides which reason a caller receives when several apply.
#include "libraries/router/admission.h"

#include "base/hash.h"

namespace shedhill::router {

wire::reason check_admission(caller_request const& arrived, config::team const* team, reach_cache& reach,
    work_queues const& queues, options const& settings)
{
    if (team == nullptr)
        return wire::reason::unknown_key;
    if (!arrived.is_repeatable && arrived.idempotency_key.empty())
        return wire::reason::missing_idempotency_key;
    if (!reach.can_reach(team->name, arrived.pool))
        return wire::reason::no_allowed_endpoint;
    if (queues.waiting_count(account_of(team->name, arrived.pool)) >= team->queue_bound)
        return wire::reason::team_queue_full;
    if (queues.total() >= settings.queue_bound)
        return wire::reason::router_queue_full;
    return wire::reason::none;
}

} // namespace shedhill::router
