// SPDX-License-Identifier: BSD-2-Clause
// Implements the increase and the decrease of the limit.
#include "libraries/dispatch/admission/answer_time_limit.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The limit never falls below this value. It is far below one, because several hundred routers may share a few slots.
constexpr double min_limit = 0.05;
// Each answer raises a limit of at least one by `increase` divided by the limit, so that it rises by about a tenth of a
// request in the time of one answer. A lower limit rises by a tenth of its value, but by no less than min_increase.
constexpr double increase = 0.1;
constexpr double min_increase = 0.02;
constexpr double decrease_factor = 0.85;
// Answers to requests sent before a decrease say nothing about the limit after it.
constexpr milliseconds decrease_interval { 100 };
constexpr double newest_weight = 0.3;
// The limit counts as used while it is at most twice the number of requests under way.
constexpr double max_limit_per_running = 2;
// Whatever the answer times were, a request is allowed after this gap: nothing else would show that answers are fast
// again.
constexpr double max_send_gap_ms = 1000;

} // namespace

void answer_time_limit::record_answer(double took_ms, double acceptable_ms, std::uint32_t running, instant now)
{
    m_answer_time_ms += newest_weight * (took_ms - m_answer_time_ms);
    if (took_ms > acceptable_ms)
        return decrease(now);
    // An unused limit is not raised: its value would mean nothing once it is used.
    if (m_limit > max_limit_per_running * static_cast<double>(running + 1))
        return;
    auto const step = m_limit < 1 ? std::max(increase * m_limit, min_increase) : increase / m_limit;
    m_limit += step;
}

void answer_time_limit::decrease(instant now)
{
    if (now - m_decreased_at < decrease_interval)
        return;
    m_decreased_at = now;
    m_limit = std::max(m_limit * decrease_factor, min_limit);
}

bool answer_time_limit::allows(std::uint32_t running, instant now) const
{
    auto const headroom = m_limit - static_cast<double>(running);
    if (headroom >= 1)
        return true;
    auto const gap_ms = std::min(m_answer_time_ms / m_limit, max_send_gap_ms);
    return headroom > 0 && static_cast<double>((now - m_sent_at).count()) >= gap_ms;
}

} // namespace shedhill::dispatch
