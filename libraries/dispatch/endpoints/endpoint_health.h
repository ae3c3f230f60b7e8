// SPDX-License-Identifier: BSD-2-Clause
// Whether an endpoint may be sent work, judged by how attempts ended there (outlier detection). An endpoint that fails
// too often is ejected for a time that doubles; then one request at a time probes it.
#pragma once

#include "base/units.h"

#include <cstdint>

namespace shedhill::dispatch {

enum class attempt_verdict { good, turned_away, failed };

class endpoint_health {
public:
    // Whether this outcome ejected the endpoint.
    bool note(attempt_verdict verdict, instant now);
    // A probe of an ejected endpoint is under way.
    void note_probe_sent() { m_has_probe = true; }
    // Its outcome says nothing about the endpoint, such as a caller who left.
    void note_probe_over() { m_has_probe = false; }

    [[nodiscard]] bool is_ejected() const { return m_is_ejected; }
    [[nodiscard]] instant ejected_until() const { return m_ejected_until; }
    // An ejected endpoint whose time is over takes one request.
    [[nodiscard]] bool may_probe(instant now) const { return m_is_ejected && !m_has_probe && now >= m_ejected_until; }

private:
    void eject(instant now);

    // Share of failures among the last attempts, the newest weighed most.
    double m_failure_share { 0 };
    std::uint32_t m_failures_in_a_row { 0 };
    bool m_is_ejected { false };
    bool m_has_probe { false };
    instant m_ejected_until {};
    milliseconds m_ejection { 0 };
};

} // namespace shedhill::dispatch
