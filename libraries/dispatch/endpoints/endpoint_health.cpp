// SPDX-License-Identifier: BSD-2-Clause
// Implements the failure average, ejection and the end of an ejection.
#include "libraries/dispatch/endpoints/endpoint_health.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr double newest_weight = 0.15;
constexpr double ejecting_failure_fraction = 0.30;
constexpr std::uint32_t ejecting_failures_in_a_row = 3;
// A rejection can be a sign of load as well as of a fault, so it weighs less than a failure.
constexpr double rejection_penalty = 0.4;
constexpr milliseconds first_ejection { 700 };
constexpr milliseconds max_ejection { 5000 };

} // namespace

bool endpoint_health::record(attempt_verdict verdict, instant now)
{
    m_has_probe = false;
    if (verdict == attempt_verdict::good) {
        m_failures_in_a_row = 0;
        m_failure_fraction *= 1 - newest_weight;
        if (m_is_ejected) {
            m_is_ejected = false;
            m_failure_fraction = std::min(m_failure_fraction, ejecting_failure_fraction / 2);
        }
        if (m_failure_fraction < ejecting_failure_fraction / 4)
            m_ejection = milliseconds(0);
        return false;
    }
    auto const penalty = verdict == attempt_verdict::failed ? 1.0 : rejection_penalty;
    m_failure_fraction += newest_weight * (penalty - m_failure_fraction);
    if (verdict == attempt_verdict::failed)
        ++m_failures_in_a_row;
    if (m_is_ejected) {
        eject(now);
        return false;
    }
    if (m_failures_in_a_row < ejecting_failures_in_a_row && m_failure_fraction < ejecting_failure_fraction)
        return false;
    eject(now);
    return true;
}

void endpoint_health::eject(instant now)
{
    m_is_ejected = true;
    m_ejection = std::clamp(m_ejection * 2, first_ejection, max_ejection);
    m_ejected_until = now + m_ejection;
}

} // namespace shedhill::dispatch
