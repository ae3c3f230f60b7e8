// SPDX-License-Identifier: BSD-2-Clause
// Rest and return.
#include "libraries/dispatch/endpoints/rest_period.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// A longer rest is an error of whoever asks, and would keep an endpoint out for as long as it lives. One request each
// ten minutes asks again.
constexpr milliseconds longest_rest { 600000 };
// Whatever is answered or not, so long after its rest an endpoint is used as any other: callers wait for capacity.
constexpr milliseconds longest_return { 2000 };
// One more request is let in each quarter of a second: less than any caller of an engine waits for a first event.
constexpr milliseconds step_of_return { 250 };
constexpr std::uint32_t more_for_an_answer { 2 };

} // namespace

void rest_period::note_asked(milliseconds rest, instant now)
{
    auto const until = now + std::min(rest, longest_rest);
    if (until <= m_until)
        return;
    m_until = until;
    m_return_until = until + longest_return;
    m_sent = 0;
    m_good = 0;
}

void rest_period::note_sent(instant now)
{
    if (now < m_return_until)
        ++m_sent;
}

void rest_period::note_good(instant sent_at)
{
    if (sent_at >= m_until && sent_at < m_return_until)
        ++m_good;
}

bool rest_period::has_part(instant now) const
{
    if (is_resting(now))
        return false;
    auto const steps = static_cast<std::uint32_t>((now - m_until) / step_of_return);
    return m_sent < 1 + more_for_an_answer * m_good + steps;
}

} // namespace shedhill::dispatch
