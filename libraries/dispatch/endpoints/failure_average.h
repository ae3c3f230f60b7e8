// SPDX-License-Identifier: BSD-2-Clause
// Averages the outcomes of recent attempts.
#pragma once

#include <algorithm>

namespace shedhill::dispatch {

enum class attempt_verdict { good, rejected, failed };

// Returns how much an outcome counts as a failure, from 0 to 1. A rejection can be a sign of load as well as of a
// fault, so it counts less than a failure.
constexpr double penalty_of(attempt_verdict verdict)
{
    constexpr double rejection_penalty = 0.4;
    switch (verdict) {
    case attempt_verdict::good:
        return 0;
    case attempt_verdict::rejected:
        return rejection_penalty;
    case attempt_verdict::failed:
        break;
    }
    return 1;
}

// An exponential moving average of penalties or of expected penalties; it starts at 0.
class failure_average {
public:
    static constexpr double newest_weight = 0.15;

    void add(double penalty) { m_value += newest_weight * (penalty - m_value); }
    void withdraw(double penalty) { m_value = std::max(m_value - newest_weight * penalty, 0.0); }
    void limit_to(double value) { m_value = std::min(m_value, value); }

    [[nodiscard]] double value() const { return m_value; }

private:
    double m_value { 0 };
};

} // namespace shedhill::dispatch
