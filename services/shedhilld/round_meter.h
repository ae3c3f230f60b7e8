// SPDX-License-Identifier: BSD-2-Clause
// Finds the rounds of the event loop that last so long that callers notice, and the step that took most of each. While
// a round lasts, the router reads nothing: requests, answers, deadlines and the list of endpoints wait.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

namespace shedhill::daemon {

struct long_round {
    milliseconds took { 0 };
    // The step that took longest, how long it took, and the size of its input: bytes or entries, 0 if it has none.
    std::string_view step;
    milliseconds step_took { 0 };
    std::size_t step_size { 0 };
    // The number of steps in the round.
    std::size_t steps { 0 };
};

class round_meter {
public:
    // The shortest latency objective of a route in use is 100 ms.
    static constexpr milliseconds noticeable_round { 100 };

    // Returns the current time in ns.
    using clock_function = std::function<std::int64_t()>;

    explicit round_meter(clock_function clock)
        : m_clock(std::move(clock))
    {
    }

    // Runs the action and measures it as a step of the current round. Steps do not contain each other.
    template <typename Action>
    auto measure(std::string_view step, std::size_t size, Action&& action)
    {
        measured_step const measured { *this, step, size, m_clock() };
        return action();
    }

    // Ends the round, which took this long. Returns it if callers notice such a round.
    [[nodiscard]] std::optional<long_round> end_round(milliseconds took)
    {
        auto round = std::exchange(m_round, {});
        m_longest_ns = 0;
        if (took < noticeable_round)
            return std::nullopt;
        round.took = took;
        return round;
    }

private:
    struct measured_step {
        round_meter& meter;
        std::string_view step;
        std::size_t size;
        std::int64_t started_ns;
        ~measured_step() { meter.record(*this); }
    };

    void record(measured_step const& measured)
    {
        constexpr std::int64_t ns_per_ms = 1'000'000;
        ++m_round.steps;
        auto const took_ns = m_clock() - measured.started_ns;
        if (took_ns <= m_longest_ns)
            return;
        m_longest_ns = took_ns;
        m_round.step = measured.step;
        m_round.step_took = milliseconds(took_ns / ns_per_ms);
        m_round.step_size = measured.size;
    }

    clock_function m_clock;
    std::int64_t m_longest_ns { 0 };
    long_round m_round;
};

} // namespace shedhill::daemon
