// SPDX-License-Identifier: BSD-2-Clause
// Decides whether a request fits into an engine's KV cache beside the requests already sent there. A request that does
// not fit would wait in the engine's own queue, in order of arrival, where no router can reorder, redirect or refuse
// it. An engine whose KV cache is full evicts a running request, whose prompt it has to prefill again later.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

// The KV cache of one engine: its capacity and the tokens in use.
struct engine_headroom {
    // KV cache capacity in tokens; 0 where it is unknown, in which case every request fits.
    token_count kv_capacity { 0 };
    // KV tokens of all requests that any router sent there and that have not ended.
    token_count kv_tokens { 0 };

    // Whether `needed` more tokens leave the KV cache filled to at most max_fraction. An empty engine accepts any
    // request that its cache can hold.
    [[nodiscard]] constexpr bool has_headroom_for(token_count needed, double max_fraction) const
    {
        if (kv_capacity == 0 || kv_tokens == 0)
            return true;
        return static_cast<double>(kv_tokens + needed) <= max_fraction * static_cast<double>(kv_capacity);
    }

    // Whether an engine of this capacity can never run the prompt.
    [[nodiscard]] constexpr bool is_too_small_for(token_count prompt) const
    {
        return kv_capacity != 0 && prompt >= kv_capacity;
    }
};

} // namespace shedhill::dispatch
