// SPDX-License-Identifier: BSD-2-Clause
// An engine as this router sees it, for operators.
#pragma once

#include "libraries/dispatch/engines/engine_work.h"

namespace shedhill::dispatch {

struct engine_view {
    endpoint_name name;
    pool_name pool;
    failure_domain domain;
    // Work of all routers at the engine.
    engine_work work;
    // KV cache capacity in tokens; 0 where the configuration does not state it.
    token_count kv_capacity { 0 };
    double tokens_per_ms { 0 };
};

} // namespace shedhill::dispatch
