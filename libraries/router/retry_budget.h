// SPDX-License-Identifier: BSD-2-Clause
// Bounds retries to a share of first tries, so that a fault does not multiply the load.
#pragma once

#include <algorithm>
#include <cstdint>

namespace shedhill::router {

class retry_budget {
public:
    retry_budget(std::uint32_t percent, std::uint32_t minimum)
        : m_percent(percent)
        , m_most(static_cast<std::uint64_t>(minimum) * cost_of_retry)
        , m_tokens(m_most)
    {
    }

    // A first try earns its share of a retry.
    void note_first_try() { m_tokens = std::min(m_most, m_tokens + m_percent); }

    // Takes one retry from the budget, if there is one.
    bool spend()
    {
        if (m_tokens < cost_of_retry)
            return false;
        m_tokens -= cost_of_retry;
        return true;
    }

private:
    static constexpr std::uint64_t cost_of_retry = 100;

    std::uint64_t m_percent;
    std::uint64_t m_most;
    // Hundredths of a retry; never above m_most.
    std::uint64_t m_tokens;
};

} // namespace shedhill::router
