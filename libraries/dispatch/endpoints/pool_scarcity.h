// SPDX-License-Identifier: BSD-2-Clause
// Measures how scarce the engines of a pool are. Team shares divide a scarce resource; where most engines are idle,
// refusing a request because of its team's share loses an answer and benefits nobody. Slots, prefill or engine memory
// can each be the scarce resource.
#pragma once

#include "libraries/dispatch/engines/engine_work.h"
#include "libraries/dispatch/policy.h"

namespace shedhill::dispatch {

// The capacity of one engine.
struct engine_size {
    std::uint32_t slots { 0 };
    // KV cache capacity in tokens; 0 where the configuration does not state it.
    token_count kv_capacity { 0 };
};

// Sums load and capacity over the engines of one pool that may receive work.
class pool_scarcity {
public:
    explicit pool_scarcity(dispatch_policy const& policy)
        : m_policy(policy)
    {
    }

    // Adds an engine with its current work. `queue_ms` is the time until the engine would start the prefill of one more
    // prompt.
    void add(engine_size const& size, engine_work const& work, double queue_ms);

    // Returns the used fraction of the most used resource, from 0 to 1. A pool without engines counts as fully used.
    [[nodiscard]] double used_fraction() const;
    // Returns 0 while shares do not bind and 1 where they bind in full.
    [[nodiscard]] double scarcity() const;

private:
    dispatch_policy const& m_policy;
    std::uint32_t m_engines { 0 };
    std::uint32_t m_prefilling { 0 };
    std::uint32_t m_slots { 0 };
    std::uint32_t m_used_slots { 0 };
    token_count m_kv_capacity { 0 };
    token_count m_kv_tokens { 0 };
};

} // namespace shedhill::dispatch
