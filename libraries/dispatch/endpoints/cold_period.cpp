// SPDX-License-Identifier: BSD-2-Clause
// Implements the sliding window of sends to a cold endpoint.
#include "libraries/dispatch/endpoints/cold_period.h"

namespace shedhill::dispatch {

bool cold_period::may_send(std::size_t allowance, instant now)
{
    while (!m_sent.empty() && now - m_sent.front() >= window)
        m_sent.pop_front();
    return m_sent.size() < allowance;
}

} // namespace shedhill::dispatch
