// SPDX-License-Identifier: BSD-2-Clause
// Measures for how long other routers have announced different rows than the own ones.
#include "libraries/peering/divergence_detector.h"

namespace shedhill::peering {

bool divergence_detector::record(announced_rows const& own, announced_rows const& reported, instant now)
{
    if (m_own_digest != own.digest) {
        m_own_digest = own.digest.value_or(0);
        m_since.reset();
    }
    bool const is_different = reported.digest && reported.digest != own.digest && reported.version <= own.version
        && reported.confirmed_at > own.confirmed_at;
    if (!is_different)
        return false;
    if (!m_since) {
        m_since = now;
        m_found_at = now;
    }
    if (now - m_found_at < min_duration)
        return false;
    m_found_at = now;
    return true;
}

} // namespace shedhill::peering
