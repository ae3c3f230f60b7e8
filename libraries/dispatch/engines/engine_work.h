// SPDX-License-Identifier: BSD-2-Clause
// The work under way at an engine, as routers count it and report it to each other. The sum over all routers is the
// engine's total work, whichever router sent it.
#pragma once

#include "libraries/dispatch/types.h"

#include <algorithm>

namespace shedhill::dispatch {

struct engine_work {
    // Attempts that have not ended.
    std::uint32_t running { 0 };
    // Prompt tokens that the engine had not cached and for which no first event has been received: their prefill is
    // pending, or has only just finished. They count until the first event arrives, however long that takes.
    token_count pending_prefill { 0 };
    // KV cache tokens that the attempts occupy until they end.
    token_count kv_tokens { 0 };

    bool operator==(engine_work const&) const = default;

    engine_work& operator+=(engine_work const& more)
    {
        running += more.running;
        pending_prefill += more.pending_prefill;
        kv_tokens += more.kv_tokens;
        return *this;
    }

    // Never below zero: the engine may have been removed and listed again in between.
    engine_work& operator-=(engine_work const& less)
    {
        running -= std::min(running, less.running);
        pending_prefill -= std::min(pending_prefill, less.pending_prefill);
        kv_tokens -= std::min(kv_tokens, less.kv_tokens);
        return *this;
    }

    friend engine_work operator+(engine_work sum, engine_work const& more) { return sum += more; }
};

// Prompt tokens whose first events were waited for, and the time of the wait; their ratio is a prefill rate.
struct prefill_sample {
    double tokens { 0 };
    double time_ms { 0 };

    [[nodiscard]] bool is_empty() const { return tokens <= 0 && time_ms <= 0; }

    prefill_sample& operator+=(prefill_sample const& more)
    {
        tokens += more.tokens;
        time_ms += more.time_ms;
        return *this;
    }
};

} // namespace shedhill::dispatch
