// SPDX-License-Identifier: BSD-2-Clause
// Implements the failure average, ejection and the end of an ejection.
#include "libraries/dispatch/endpoints/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace shedhill::dispatch {

namespace {

constexpr double ejecting_failure_fraction = 0.30;
// An endpoint is an outlier if its failures in a row exceed the expected ones by this number and would have occurred
// elsewhere with at most this probability, or if its average is this number of standard deviations above the expected
// one. Three failures of requests that do not fail elsewhere exceed the number.
constexpr double ejecting_unexpected_failures = 2.25;
constexpr double max_chance_of_row = 0.01;
constexpr double outlier_deviations = 3;
// Bounds what failures elsewhere excuse, so that an endpoint that answers nothing is ejected in the end.
constexpr double max_expected_failure = 0.99;
constexpr milliseconds first_ejection { 700 };
constexpr milliseconds max_ejection { 5000 };

} // namespace

bool endpoint_health::record(attempt_verdict verdict, instant now, double expected_failure)
{
    m_has_probe = false;
    auto const expected = std::min(expected_failure, max_expected_failure);
    m_failures.add(penalty_of(verdict));
    m_expected.add(expected);
    constexpr auto weight = failure_average::newest_weight;
    m_variance = (1 - weight) * (1 - weight) * m_variance + weight * weight * expected * (1 - expected);
    if (verdict == attempt_verdict::good) {
        record_good();
        return false;
    }
    if (verdict == attempt_verdict::failed) {
        m_unexpected_in_a_row += 1 - expected;
        m_chance_of_row *= expected;
    }
    if (m_is_ejected) {
        eject(now);
        return false;
    }
    if (!is_outlier())
        return false;
    eject(now);
    return true;
}

void endpoint_health::record_good()
{
    m_unexpected_in_a_row = 0;
    m_chance_of_row = 1;
    if (m_is_ejected) {
        m_is_ejected = false;
        m_failures.limit_to(ejecting_failure_fraction / 2);
    }
    if (m_failures.value() < ejecting_failure_fraction / 4)
        m_ejection = milliseconds(0);
}

bool endpoint_health::is_outlier() const
{
    if (m_unexpected_in_a_row >= ejecting_unexpected_failures && m_chance_of_row <= max_chance_of_row)
        return true;
    auto const limit = m_expected.value() + outlier_deviations * std::sqrt(m_variance);
    return m_failures.value() >= std::max(limit, ejecting_failure_fraction);
}

void endpoint_health::withdraw_failure()
{
    m_failures.withdraw(penalty_of(attempt_verdict::failed));
    m_unexpected_in_a_row = std::max(m_unexpected_in_a_row - 1, 0.0);
}

void endpoint_health::eject(instant now)
{
    m_is_ejected = true;
    m_ejection = std::clamp(m_ejection * 2, first_ejection, max_ejection);
    m_ejected_until = now + m_ejection;
}

} // namespace shedhill::dispatch
