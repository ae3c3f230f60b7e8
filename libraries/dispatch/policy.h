// SPDX-License-Identifier: BSD-2-Clause
// The weights and limits by which requests are let in and endpoints are chosen. Each is a setting of the daemon, so
// that an experiment can change it or switch a mechanism off; docs/DECISIONS.md tells what each is worth.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

struct dispatch_policy {
    // A request waits at a router for this part of its objective at most; then it is refused, so that it can come back.
    // What is within its team's share is likely to be let in soon.
    double wait_within_share { 0.4 };
    double wait_past_share { 0.1 };
    // A request goes where parts of its prompt are not kept, though they are elsewhere, after this part of its
    // objective. What is past its team's share is refused long before: it reads nothing anew.
    double patience_within_share { 0.3 };
    double patience_past_share { 4 };
    // The part of the time left within which an engine that has prompts to read must be foreseen to begin what is past
    // its team's share; at 0 only an engine that has nothing to read takes it. Above that engines do not idle for a
    // moment after each prompt.
    double queueing_past_share { 0.35 };
    // What is past its team's share may take an endpoint's places up to this part, and less for each even level of
    // lead: half an even level ahead, a team gets nothing more, which bounds the gap between backlogged teams. More
    // runs would make the steps of what is owed longer and drive shared parts out of the engine's memory.
    double load_past_share { 0.25 };
    double load_less_per_lead { 0.5 };
    // While no more than this part of a pool is in use, nothing there is scarce and no share binds: what is owed finds
    // seven of eight engines with nothing to read, whatever else is let in. Shares bind in full from load_past_share
    // on, and in between the more, the less is left: a hard edge would let in and refuse by turns.
    double scarce_from { 0.125 };
    // A first event must be foreseen within this part of the time that is left: forecasts err.
    double margin_of_objective { 0.7 };
    // An engine with so little to read, in milliseconds, counts as having nothing to read: it takes any prompt, however
    // long its own reading takes. About one short prompt.
    double idle_reading_ms { 40 };
    // Where a pool is scarce, reading shared parts anew costs so many times the time that it takes: it holds up all
    // that run there, and drives other parts out. Where nothing is scarce it holds up nobody, and what it costs is the
    // work.
    double reading_weight { 4 };
    double idle_reading_weight { 1 };
    // Forecasts that differ by less than this multiple of their usual error are as good as equal. Each router prefers
    // other engines then, so that many routers with the same news do not all choose the same one.
    double spread_of_error { 1 };
    // Spreads first places of parts over the endpoints, the same way at all routers, in milliseconds.
    double placement_spread_ms { 200 };
    // What another failure domain costs, in milliseconds.
    double other_domain_ms { 4 };
    // What a full endpoint costs above an empty one, in milliseconds.
    double full_endpoint_ms { 40 };
    // An engine's memory is filled up to this part by what was sent there. The rest is for what requests make beyond
    // the caller's guess, for what other routers have sent in the last moments, and for shared parts that rest.
    double memory_filled { 0.7 };
    // What waits for a plain service waits this part of its objective at most. Its answers come every few milliseconds
    // where it has room, so a longer wait only brings later answers.
    double wait_plain { 0.15 };
    // The part of the objective that a plain service's answer may take: the rest is for the wait and one return.
    double bearable_answer { 0.5 };
    // A caller that found no place is told to come back after this part of its objective, on average: early enough to
    // be served in time, late enough that a place may have come free. 0 switches it off.
    double early_return { 0.2 };
    // How long a shared part that is not asked for is thought to stay in an engine's memory.
    milliseconds keeping_time { 12000 };
};

} // namespace shedhill::dispatch
