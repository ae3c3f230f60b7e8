// SPDX-License-Identifier: BSD-2-Clause
// Decides the steps of a planned stop by the elapsed time.
#include "libraries/relay/stop_sequence.h"

#include <algorithm>

namespace shedhill::relay {

namespace {

// The process ends this long before the end of its stop time, so that it exits by itself rather than being killed.
constexpr milliseconds stop_margin { 400 };
// Requests end this long before the end of the stop time, so that their callers receive the answers.
constexpr milliseconds answer_margin { 700 };

} // namespace

void stop_sequence::begin(instant now)
{
    if (!has_begun())
        m_begun_at = now;
}

stop_step stop_sequence::advance(open_work const& open, milliseconds stop_time, instant now)
{
    if (!has_begun())
        return stop_step::wait;
    auto const elapsed = now - m_begun_at;
    if (elapsed >= stop_time - answer_margin && !m_has_ended_requests) {
        m_has_ended_requests = true;
        m_is_closing = true;
        return stop_step::end_requests;
    }
    if (elapsed >= stop_time - stop_margin)
        return stop_step::end_process;
    if (elapsed < std::min(balancer_detection_time, stop_time / 2) && !m_is_closing)
        return stop_step::wait;
    if (!m_is_closing) {
        m_is_closing = true;
        return stop_step::close_callers;
    }
    return open.requests > 0 || open.has_partial_exchange ? stop_step::wait : stop_step::end_process;
}

} // namespace shedhill::relay
