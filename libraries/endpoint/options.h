// SPDX-License-Identifier: BSD-2-Clause
// The settings of an endpoint process's reducer. docs/OPERATIONS.md explains each.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace shedhill::endpoint {

// How the account that gets a free slot is chosen. Production uses corrected_draw; the others are baselines for
// measurements.
enum class choice_policy {
    // The account with the lowest level of a few accounts drawn at random. Levels are corrected by the service that
    // this endpoint has given since they were computed.
    corrected_draw,
    // The account with the lowest level as the routers sent it.
    least_level,
    // The account with the least service from this endpoint.
    own_counters,
    // The account with the least service from all endpoints, by counters that are never out of date. They exist only in
    // a simulation and give the bound for the other policies.
    perfect_counters,
};

struct options {
    vm_name vm;
    // Increases with each start of the process under this VM name.
    process_epoch epoch {};
    // The number of requests that the engine or service runs at once.
    std::uint32_t slots { 6 };
    choice_policy policy { choice_policy::corrected_draw };
    // Returns the service of an account over all endpoints; used by perfect_counters only.
    std::function<service_units(account_id)> perfect_total;
    // The number of accounts drawn for one grant.
    std::size_t draw_size { 4 };
    // One grant in this number goes to the account with the lowest level of all, without a draw.
    std::uint32_t grants_per_exact_choice { 4 };
    // A grant that is not used within this time expires.
    milliseconds grant_timeout { 2000 };
    // The time that a router may take to reach a revision after this endpoint first received it.
    milliseconds revision_grace { 4000 };
    // Bounds of the time without grants after a call that did not reach the engine.
    milliseconds min_engine_backoff { 500 };
    milliseconds max_engine_backoff { 5000 };
    // An idle endpoint without offers announces its state to a few routers at an interval that doubles between these
    // bounds.
    milliseconds min_announce_interval { 500 };
    milliseconds max_announce_interval { 8000 };
    std::size_t announce_fanout { 3 };
    token_weights weights;
};

} // namespace shedhill::endpoint
