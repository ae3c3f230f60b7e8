// SPDX-License-Identifier: BSD-2-Clause
// Limits retries to a fraction of first attempts, so that a fault does not multiply the load.
#pragma once

#include <algorithm>
#include <cstdint>

namespace shedhill::router {

// A token bucket: each first attempt adds `percent` tokens, and each retry costs 100.
class retry_budget {
public:
    retry_budget(std::uint32_t percent, std::uint32_t capacity)
        : m_percent(percent)
        , m_max_tokens(static_cast<std::uint64_t>(capacity) * tokens_per_retry)
        , m_tokens(m_max_tokens)
    {
    }

    // Adds the fraction of a retry that a first attempt earns.
    void record_first_attempt() { m_tokens = std::min(m_max_tokens, m_tokens + m_percent); }

    // Spends one retry. Returns false if the budget has none.
    bool spend()
    {
        if (m_tokens < tokens_per_retry)
            return false;
        m_tokens -= tokens_per_retry;
        return true;
    }

private:
    static constexpr std::uint64_t tokens_per_retry = 100;

    std::uint64_t m_percent;
    std::uint64_t m_max_tokens;
    // The budget in hundredths of a retry, at most m_max_tokens.
    std::uint64_t m_tokens;
};

} // namespace shedhill::router
