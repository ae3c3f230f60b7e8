#!/usr/bin/env bash
# Mutation check: disables one mechanism at a time in a scratch copy of HEAD, builds the unit tests and runs the test
# that must then fail. A run takes several minutes and is not part of CI.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git archive HEAD | tar -x -C "$scratch"
cmake -S "$scratch" -B "$scratch/build" -G Ninja >/dev/null
ninja -C "$scratch/build" shedhill-unit-tests >/dev/null

missed=0
# Arguments: a description of the mechanism, its file, the sed expression that disables it, the name of the test.
without() {
    local mechanism=$1 file=$2 expression=$3 test=$4
    cp "$scratch/$file" "$scratch/original"
    sed -i "$expression" "$scratch/$file"
    if cmp -s "$scratch/original" "$scratch/$file"; then
        echo "STALE    $mechanism: the expression changes nothing in $file"
        missed=$((missed + 1))
        return
    fi
    if ! ninja -C "$scratch/build" shedhill-unit-tests >/dev/null; then
        echo "BROKEN   $mechanism: does not build without it"
        missed=$((missed + 1))
    elif timeout 120 "$scratch/build/shedhill-unit-tests" "$test" >/dev/null 2>&1; then
        echo "MISSED   $mechanism: $test still passes"
        missed=$((missed + 1))
    else
        echo "fails    without $mechanism: $test"
    fi
    cp "$scratch/original" "$scratch/$file"
}

flow=libraries/router/request_flow.cpp
attempts=libraries/router/request_attempts.cpp
refusals=libraries/router/refusals.cpp
endpoint=libraries/endpoint/endpoint_reducer.cpp
without "the rule that a request that is not repeatable is not sent again" $attempts \
    's/failed.caller.is_repeatable \&\& //' a_non_repeatable_request_is_not_sent_again
without "the check for gaps between chunks" $flow \
    's/if (received.sequence > receiver->next_sequence)/if (false)/; s/if (received.sequence != ended->next_sequence)/if (false)/' \
    an_answer_with_a_gap
without "the outcome 'unknown' for refused repeats" $refusals \
    's/return is_known ? wire::run_outcome::not_run : wire::run_outcome::unknown;/return wire::run_outcome::not_run;/' \
    a_repeat_that_is_refused
without "the same rule, under the fuzzer" $refusals \
    's/return is_known ? wire::run_outcome::not_run : wire::run_outcome::unknown;/return wire::run_outcome::not_run;/' \
    guarantees_hold
without "the retry budget" $attempts 's/if (!may_repeat || !m_retries.spend())/if (!may_repeat)/' retries_are_bounded
without "the stall limit" $flow 's/open.phase == request_phase::running \&\& step.now() - open.last_progress > limit/false/' \
    a_frozen_endpoint
without "the claim of an idempotency key" $flow \
    's/switch (verdict) {/switch (table_service::claim_verdict::won) {/' a_repeat_of_the_key
without "the release of claims whose requests were not run" libraries/router/claim_batcher.cpp \
    's/m_releases.push_back(std::move(claim));//' a_key_whose_request
without "the rule that a request that is not repeatable runs to its end" $flow \
    's/if (dropped.caller.is_repeatable)/if (true)/' an_order_whose_caller
without "the record of accepted attempts" $endpoint \
    's/if (m_routers.at(from).accepted.contains/if (false \&\& m_routers.at(from).accepted.contains/' \
    a_duplicate_run
without "the refusal of offers while draining" $endpoint \
    's/why = wire::reason::endpoint_draining;/why = wire::reason::none;/' a_draining_endpoint
without "the wait for outstanding grants" $endpoint 's/ || !m_grants.empty())/)/' a_drain_waits
without "the refusal of stale revisions" libraries/endpoint/revision_window.h \
    's/return std::ranges::any_of(m_observations/return false \&\& std::ranges::any_of(m_observations/' \
    a_router_with_a_stale_revision
without "the service reports" libraries/router/router_reducer.cpp 's/if (m_reporter.is_due(step.now()))/if (false)/' \
    the_gap_is_near
without "the floor of accounts that return from idle" libraries/ledger/service_aggregator.cpp 's/current < floor/false/' \
    an_account_returning_from_idle
without "the growth of subsets" libraries/router/link_table.cpp 's/    ++m_subset_sizes\[pool\];//' no_slot_is_idle
without "the consent of both partners" libraries/config/catalog.cpp 's/if (!verdict.is_own \&\& share == nullptr)/if (false)/' \
    sharing_needs_both
without "the order of snapshots" libraries/config/catalog.cpp 's/if (offered <= m_revision.value())/if (false)/' an_older_snapshot
without "the snapshots from peers" libraries/router/router_reducer.cpp 's/request->newer_than < catalog().current_revision()/false/' \
    a_restart_with_the_platform_down
without "the rebuild of aggregators" libraries/ledger/service_aggregator.cpp \
    's/account.is_rebuilding ? std::max(known_total, account.largest_reported_sum) : known_total/known_total/' \
    a_new_aggregator_is_rebuilt
[ "$missed" -eq 0 ] && echo "every test fails without its mechanism"
