// SPDX-License-Identifier: BSD-2-Clause
// The settings of the router's reducer. docs/OPERATIONS.md explains each.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"
#include "libraries/ledger/service_aggregator.h"

#include <cstddef>
#include <cstdint>

namespace shedhill::router {

struct options {
    vm_name vm;
    failure_domain domain;
    // Increases with each start of the process under this VM name.
    process_epoch epoch {};

    // The number of endpoints of one pool that this router connects to.
    std::size_t subset_size { 12 };
    // While work waits, the subset grows by one endpoint at a time, at most once per widening interval, up to this
    // size.
    std::size_t max_subset_size { 48 };
    milliseconds subset_widen_interval { 500 };
    // The number of endpoints that a waiting account is offered to at first.
    std::size_t offer_spread { 3 };
    // The interval at which an account that still waits is offered to one more endpoint.
    milliseconds offer_widen_interval { 100 };

    // The most requests that wait in this router.
    std::size_t queue_bound { 4096 };
    // The longest time until a request's deadline, and the time for requests without one.
    milliseconds default_deadline { 60000 };
    // The longest time without progress of an attempt before its first chunk, and after it.
    milliseconds first_chunk_limit { 20000 };
    milliseconds next_chunk_limit { 5000 };
    // The size limit of an answer that is withheld until it is complete.
    std::size_t max_withheld_answer_bytes { std::size_t { 8 } << 20 };

    // The most attempts of one request.
    std::uint32_t max_attempts { 3 };
    // The retries that each hundred first attempts add to the budget, and the budget's capacity in retries. The budget
    // is full at the start.
    std::uint32_t retry_percent { 10 };
    std::uint32_t retry_budget_capacity { 10 };

    // The minimum interval between batches of claims.
    milliseconds claim_interval { 20 };
    // The intervals of reading the configuration's head row and the VM list.
    milliseconds head_interval { 2000 };
    milliseconds vm_interval { 2000 };
    // The interval of reading the VM list until it contains an endpoint.
    milliseconds initial_vm_interval { 250 };
    // Bounds of the back-off between attempts to connect to one VM.
    milliseconds min_reconnect_backoff { 200 };
    // The approximate interval between connection attempts over all VMs; it determines the back-off while many links
    // are lost.
    milliseconds reconnect_interval { 100 };
    milliseconds max_reconnect_backoff { 2000 };

    // The interval of service reports, and their limit in bytes per second.
    milliseconds report_interval { 250 };
    std::size_t report_bytes_per_second { 1500 };
    // The limit in bytes per second of refreshes: offers that send changed levels and the revision in force to
    // endpoints that receive neither with a request.
    std::size_t refresh_bytes_per_second { 600 };
    // The most accounts besides the request's own whose levels are sent along with a request.
    std::size_t max_refreshes_per_run { 4 };
    ledger::aggregator_options aggregator;
    // The assumed cost of an account's request until one has finished.
    service_units initial_expected_cost { 300000 };
};

} // namespace shedhill::router
