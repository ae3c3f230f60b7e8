// SPDX-License-Identifier: BSD-2-Clause
// The intervals and wait times trade the load of the store against the delay until a router receives a change.
#include "libraries/dispatch/store/watch_terms.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The polls of the endpoint list are at most a third of the bound apart, so that two successive polls may fail.
constexpr std::int64_t list_calls_within_bound = 3;
// Together with list_wait, this stays below the gap between confirmations that store_outage_watch expects.
constexpr milliseconds max_list_poll_interval { 800 };
// The long poll of the endpoint list detects outages. Each 0.1 s less would cost 3 more calls a minute for each router.
constexpr milliseconds list_wait { 1350 };
// If some routers watch the list for others, they must detect an outage within the bound, so long polls take at most
// 3/8 of it.
constexpr std::int64_t shared_wait_numerator = 3;
constexpr std::int64_t shared_wait_denominator = 8;
// Tables that rarely change have longer polls. They are polled again as soon as a call of another table shows that they
// may be stale.
constexpr milliseconds configuration_wait { 8000 };
constexpr milliseconds routers_wait { 24000 };
constexpr milliseconds routers_poll_interval { 2000 };
// A router that is no watcher polls the store at this interval, in case all watchers report stale data.
constexpr milliseconds unwatched_poll_interval { 60000 };
// The recovery of the store is detected within a fifth of the smallest bound in use (2 s). Calls that the store answers
// immediately may take longer than this, so the tables take turns and several calls may be in flight.
constexpr milliseconds probe_interval { 400 };
// The probe interval of routers that are not among the first to probe for the recovery of the store.
constexpr milliseconds secondary_probe_interval { 1200 };

milliseconds wait_for_list(watch_situation const& situation)
{
    if (!situation.is_shared)
        return list_wait;
    return std::min(list_wait, situation.leaving_bound * shared_wait_numerator / shared_wait_denominator);
}

} // namespace

milliseconds list_poll_interval(milliseconds leaving_bound)
{
    return std::min(leaving_bound / list_calls_within_bound, max_list_poll_interval);
}

watch_terms make_watch_terms(watch_situation const& situation)
{
    auto const interval = [&](milliseconds own) { return situation.is_watcher ? own : unwatched_poll_interval; };
    watch_terms terms;
    terms.tables = { watch_options { interval(milliseconds(0)), configuration_wait },
        { interval(list_poll_interval(situation.leaving_bound)), wait_for_list(situation) },
        { interval(routers_poll_interval), routers_wait } };
    terms.probe_interval = situation.is_outage_prober ? probe_interval : secondary_probe_interval;
    terms.is_watcher = situation.is_watcher;
    return terms;
}

} // namespace shedhill::dispatch
