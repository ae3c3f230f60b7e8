// SPDX-License-Identifier: BSD-2-Clause
// Detects unhealthy endpoints from the outcomes of attempts (outlier detection). An endpoint that fails too often is
// ejected for a period that doubles with each ejection; after the period, one request at a time probes it.
#pragma once

#include "base/units.h"

#include <cstdint>

namespace shedhill::dispatch {

enum class attempt_verdict { good, rejected, failed };

class endpoint_health {
public:
    // Records how an attempt ended and returns whether this outcome ejected the endpoint.
    bool record(attempt_verdict verdict, instant now);
    // Records that a probe of the ejected endpoint has been sent.
    void record_probe_sent() { m_has_probe = true; }
    // Records that the probe ended without saying anything about the endpoint, for example because its caller left.
    void record_probe_end() { m_has_probe = false; }

    [[nodiscard]] bool is_ejected() const { return m_is_ejected; }
    [[nodiscard]] instant ejected_until() const { return m_ejected_until; }
    // Whether the endpoint is ejected, its ejection period is over, and no probe is under way.
    [[nodiscard]] bool may_probe(instant now) const { return m_is_ejected && !m_has_probe && now >= m_ejected_until; }

private:
    void eject(instant now);

    // Exponential moving average of failures among recent attempts, from 0 to 1.
    double m_failure_fraction { 0 };
    std::uint32_t m_failures_in_a_row { 0 };
    bool m_is_ejected { false };
    bool m_has_probe { false };
    instant m_ejected_until {};
    milliseconds m_ejection { 0 };
};

} // namespace shedhill::dispatch
