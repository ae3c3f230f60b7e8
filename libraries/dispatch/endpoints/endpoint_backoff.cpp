// SPDX-License-Identifier: BSD-2-Clause
// Implements the back-off and the ramp-up after it.
#include "libraries/dispatch/endpoints/endpoint_backoff.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// A longer back-off is an error of the endpoint, and would exclude it for the rest of its lifetime. With this limit it
// is asked again by one request every ten minutes.
constexpr milliseconds max_backoff { 600000 };
// An endpoint is used without restriction this long after its back-off, whether requests succeeded or not, because
// callers wait for its capacity.
constexpr milliseconds ramp_duration { 2000 };
// During the ramp-up one more request is allowed per step. The step is shorter than the time for which callers of an
// engine wait for a first event.
constexpr milliseconds ramp_step { 250 };
constexpr std::uint32_t requests_per_success { 2 };

} // namespace

void endpoint_backoff::record_requested(milliseconds backoff, instant now)
{
    auto const until = now + std::min(backoff, max_backoff);
    if (until <= m_until)
        return;
    m_until = until;
    m_ramp_end = until + ramp_duration;
    m_sent = 0;
    m_succeeded = 0;
}

void endpoint_backoff::record_sent(instant now)
{
    if (now < m_ramp_end)
        ++m_sent;
}

void endpoint_backoff::record_success(instant sent_at)
{
    if (sent_at >= m_until && sent_at < m_ramp_end)
        ++m_succeeded;
}

bool endpoint_backoff::has_ramp_allowance(instant now) const
{
    if (is_backing_off(now))
        return false;
    auto const steps = static_cast<std::uint32_t>((now - m_until) / ramp_step);
    return m_sent < 1 + requests_per_success * m_succeeded + steps;
}

} // namespace shedhill::dispatch
