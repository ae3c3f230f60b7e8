// SPDX-License-Identifier: BSD-2-Clause
// Detects unhealthy endpoints from the outcomes of attempts (outlier detection). An endpoint that fails too often, and
// clearly more often than the same requests fail elsewhere, is ejected for a period that doubles with each ejection;
// after the period, one request at a time probes it.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/endpoints/failure_average.h"

namespace shedhill::dispatch {

class endpoint_health {
public:
    // Records how an attempt ended and returns whether this outcome ejected the endpoint. `expected_failure` is the
    // probability, from 0 to 1, with which the request fails at other endpoints.
    bool record(attempt_verdict verdict, instant now, double expected_failure = 0);
    // Withdraws a recorded failure that was not the endpoint's fault. An ejection is not reversed.
    void withdraw_failure();
    // Records that a probe of the ejected endpoint has been sent.
    void record_probe_sent() { m_has_probe = true; }
    // Records that the probe ended without saying anything about the endpoint, for example because its caller left.
    void record_probe_end() { m_has_probe = false; }

    // The fraction of failures among recent attempts, and the fraction that was expected of the same requests.
    [[nodiscard]] double failures() const { return m_failures.value(); }
    [[nodiscard]] double expected_failures() const { return m_expected.value(); }
    [[nodiscard]] bool is_ejected() const { return m_is_ejected; }
    [[nodiscard]] instant ejected_until() const { return m_ejected_until; }
    // Whether the endpoint is ejected, its ejection period is over, and no probe is under way.
    [[nodiscard]] bool may_probe(instant now) const { return m_is_ejected && !m_has_probe && now >= m_ejected_until; }

private:
    void record_good();
    // Whether the endpoint fails so often that a fault of its requests hardly explains it.
    [[nodiscard]] bool is_outlier() const;
    void eject(instant now);

    // Failures among recent attempts, and the failures that were expected of the same requests.
    failure_average m_failures;
    failure_average m_expected;
    // The variance of the average of failures, if each request fails with its expected probability.
    double m_variance { 0 };
    // The failures since the last good answer, less the expected ones, and the probability that the same requests would
    // have failed elsewhere, too.
    double m_unexpected_in_a_row { 0 };
    double m_chance_of_row { 1 };
    bool m_is_ejected { false };
    bool m_has_probe { false };
    instant m_ejected_until {};
    milliseconds m_ejection { 0 };
};

} // namespace shedhill::dispatch
