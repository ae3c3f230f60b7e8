// SPDX-License-Identifier: BSD-2-Clause
// The settings of an endpoint process's decisions. docs/OPERATIONS.md explains each.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace shedhill::endpoint {

// Which team gets a free slot. The others exist to be measured against the product's choice.
enum class choice_policy {
    // The least served of a few accounts drawn at random, by levels corrected for what was done since.
    corrected_draw,
    // By the levels that routers sent, as they are.
    least_level,
    // By what this endpoint alone has given.
    own_counters,
    // By counters that are never out of date, which only a measurement can have: the bound for all others.
    perfect_counters,
};

struct options {
    vm_name vm;
    process_epoch epoch {};
    // How many requests the engine or service takes at once.
    std::uint32_t slots { 6 };
    choice_policy policy { choice_policy::corrected_draw };
    // The service of an account over all endpoints; for perfect_counters only.
    std::function<service_units(account_id)> perfect_total;
    // How many accounts are drawn for one grant.
    std::size_t draw_size { 4 };
    // Every so many grants the account furthest behind of all gets the slot, whatever the draw.
    std::uint32_t exact_every { 4 };
    // A grant that is not used in this time is void.
    milliseconds grant_limit { 2000 };
    // A router may be this long behind a revision that was seen here.
    milliseconds revision_grace { 4000 };
    milliseconds engine_retry_least { 500 };
    milliseconds engine_retry_most { 5000 };
    // An idle endpoint without demand tells a few routers, less and less often.
    milliseconds announce_least { 500 };
    milliseconds announce_most { 8000 };
    std::size_t announce_fanout { 3 };
    token_weights weights;
};

} // namespace shedhill::endpoint
