// SPDX-License-Identifier: BSD-2-Clause
// A sum over a sliding time window, kept in a ring of equal spans.
#pragma once

#include "base/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace shedhill::dispatch {

// The window is as long as `Spans` spans; older amounts leave the sum one span at a time.
template <std::size_t Spans>
class sliding_sum {
public:
    explicit sliding_sum(milliseconds window)
        : m_span(window / static_cast<std::int64_t>(Spans))
    {
    }

    void add(instant now, std::int64_t amount)
    {
        advance(now);
        m_values[m_position % Spans] += amount;
        m_sum += amount;
    }

    [[nodiscard]] std::int64_t sum(instant now)
    {
        advance(now);
        return m_sum;
    }

private:
    void advance(instant now)
    {
        auto const position = static_cast<std::size_t>(now.time_since_epoch() / m_span);
        if (position <= m_position)
            return;
        auto const steps = std::min(position - m_position, Spans);
        for (std::size_t step = 1; step <= steps; ++step) {
            auto& oldest = m_values[(position - steps + step) % Spans];
            m_sum -= oldest;
            oldest = 0;
        }
        m_position = position;
    }

    milliseconds m_span;
    // Number of the latest span.
    std::size_t m_position { 0 };
    // Invariant: the sum of m_values.
    std::int64_t m_sum { 0 };
    std::array<std::int64_t, Spans> m_values {};
};

} // namespace shedhill::dispatch
