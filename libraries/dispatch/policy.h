// SPDX-License-Identifier: BSD-2-Clause
// The weights and limits that admission and the choice of endpoints use. Each is a setting of the daemon, so that an
// experiment can change it or switch a mechanism off; docs/DECISIONS.md describes the effect of each. Members are named
// after their settings, in which "reading" stands for prefill, "memory" for the KV cache, "lead" for a team's excess
// over the even level, and "keeping" for caching.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

struct dispatch_policy {
    // A request waits at a router for at most this fraction of its objective; then it is refused, so that its caller
    // can retry. A request within its team's share may wait longer, because it is likely to be admitted soon.
    double wait_within_share { 0.4 };
    double wait_past_share { 0.1 };
    // After this fraction of its objective a request may go to an engine that has not cached parts of its prompt,
    // although another engine has. A request past its team's share is refused long before that, so it causes no
    // redundant prefill.
    double patience_within_share { 0.3 };
    double patience_past_share { 4 };
    // An engine with pending prefill takes a request past its team's share only if the estimate says that it starts the
    // request within this fraction of the time left. At 0 only an engine without pending prefill takes it, so engines
    // would idle for a moment after each prompt.
    double queueing_past_share { 0.35 };
    // Requests past their team's share may occupy an endpoint's slots up to this fraction, reduced by
    // load_less_per_lead for each even level of excess: half an even level ahead, a team gets no more slots, which
    // bounds the gap between backlogged teams. More concurrent requests would lengthen the steps of requests within
    // their share and evict shared prompt parts from the engine's cache.
    double load_past_share { 0.25 };
    double load_less_per_lead { 0.5 };
    // Up to this utilisation of a pool, its capacity is not scarce and shares do not apply: a request within its share
    // finds seven of eight engines without pending prefill, whatever else is admitted. Shares apply fully from
    // load_past_share on and gradually in between; a hard threshold would alternate between admitting and refusing.
    double scarce_from { 0.125 };
    // The estimated first event must be within this fraction of the time left, because estimates have errors.
    double margin_of_objective { 0.7 };
    // An engine whose pending prefill takes at most this time, in milliseconds, counts as idle and takes any prompt,
    // however long the prefill of that prompt takes. The value is about one short prompt.
    double idle_reading_ms { 40 };
    // While a pool is scarce, redundant prefill of shared parts costs this multiple of its duration, because it delays
    // all requests that run at the engine and evicts other parts. While the pool is not scarce it delays no other
    // request, and costs idle_reading_weight times its duration.
    double reading_weight { 4 };
    double idle_reading_weight { 1 };
    // Estimates that differ by less than this multiple of their usual error count as equal. Routers then prefer
    // different engines, so that many routers with the same reports do not all choose the same engine.
    double spread_of_error { 1 };
    // The weight, in milliseconds, that distributes prompt parts without a cached copy over the endpoints; all routers
    // distribute them in the same way.
    double placement_spread_ms { 200 };
    // The cost of an endpoint in another failure domain, in milliseconds.
    double other_domain_ms { 4 };
    // The additional cost of a full endpoint compared with an empty one, in milliseconds.
    double full_endpoint_ms { 40 };
    // Requests may fill an engine's KV capacity up to this fraction. The remainder is for tokens generated beyond the
    // caller's length hint, for requests of other routers that are not reported yet, and for unused shared parts.
    double memory_filled { 0.7 };
    // A request to a plain service waits for at most this fraction of its objective. A plain service with free slots
    // answers every few milliseconds, so a longer wait only delays answers.
    double wait_plain { 0.15 };
    // A plain service sustains its load while its answers take at most this fraction of the objective; the remainder is
    // for the wait and one retry.
    double bearable_answer { 0.5 };
    // A caller that found no free slot is told to retry after this fraction of its objective on average: early enough
    // to be served in time, and late enough that a slot may be free. 0 disables early retries.
    double early_return { 0.2 };
    // Whether a failure is held against an endpoint only if the request does not fail at another endpoint, too; 0 holds
    // each failure against the endpoint immediately.
    double failure_attribution { 1 };
    // Whether an endpoint is ejected only if requests of the same teams fail clearly less often at other endpoints; 0
    // disables the comparison.
    double failure_comparison { 1 };
    // The weight, in milliseconds, that distributes retries, and requests of teams with failures, over the endpoints.
    double retry_spread_ms { 15 };
    // The estimated time for which an engine caches a shared part that no request uses.
    milliseconds keeping_time { 12000 };
};

} // namespace shedhill::dispatch
