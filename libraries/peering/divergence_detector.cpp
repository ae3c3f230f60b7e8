// SPDX-License-Identifier: BSD-2-Clause
// Measures for how long other routers have announced different rows than the own ones.
#include "libraries/peering/divergence_detector.h"

namespace shedhill::peering {

bool divergence_detector::record(announced_rows const& own, announced_rows const& reported, instant now)
{
    if (m_own_digest != own.digest) {
        m_own_digest = own.digest.value_or(0);
        m_since.reset();
        m_is_found = false;
    }
    bool const is_different = reported.digest && reported.digest != own.digest && reported.version <= own.version
        && reported.confirmed_at > own.confirmed_at;
    if (!is_different)
        return false;
    if (!m_since)
        m_since = now;
    if (m_is_found || now - *m_since < min_duration)
        return false;
    m_is_found = true;
    return true;
}

} // namespace shedhill::peering
