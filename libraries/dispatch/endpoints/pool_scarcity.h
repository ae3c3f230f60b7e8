// SPDX-License-Identifier: BSD-2-Clause
// How scarce the engines of a pool are. Shares divide what is scarce; where most engines have nothing to do, whoever is
// turned away for his share loses an answer and nobody gains one. Places, reading and memory each may be what is short.
#pragma once

#include "libraries/dispatch/engines/engine_work.h"
#include "libraries/dispatch/policy.h"

namespace shedhill::dispatch {

// What an engine can take at once.
struct engine_size {
    std::uint32_t slots { 0 };
    // Tokens; 0 where it is not told.
    token_count memory { 0 };
};

// Sums over the engines of one pool that may get work.
class pool_scarcity {
public:
    explicit pool_scarcity(dispatch_policy const& policy)
        : m_policy(policy)
    {
    }

    // An engine with so much under way, which would begin to read one more prompt after so long.
    void add(engine_size const& size, engine_work const& work, double before_ms);

    // The part of the pool that is in use, from 0 to 1, by what is used most of. A pool of no engines is used up.
    [[nodiscard]] double part_in_use() const;
    // 0 while shares do not bind, 1 where they bind in full.
    [[nodiscard]] double scarcity() const;

private:
    dispatch_policy const& m_policy;
    std::uint32_t m_engines { 0 };
    std::uint32_t m_reading { 0 };
    std::uint32_t m_places { 0 };
    std::uint32_t m_taken { 0 };
    token_count m_memory { 0 };
    token_count m_held { 0 };
};

} // namespace shedhill::dispatch
