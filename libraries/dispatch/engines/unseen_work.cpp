// SPDX-License-Identifier: BSD-2-Clause
// The fading sums and the product of rate and age.
#include "libraries/dispatch/engines/unseen_work.h"

#include <algorithm>
#include <cmath>

namespace shedhill::dispatch {

namespace {

// A source that was silent for longer was cut off or has just begun; that tells nothing of how often others tell.
constexpr milliseconds longest_gap { 1000 };
constexpr double weight_of_one_gap = 0.02;

} // namespace

void news_age::note_gap(milliseconds gap)
{
    if (gap <= longest_gap)
        m_gap_ms += weight_of_one_gap * (static_cast<double>(gap.count()) - m_gap_ms);
}

void unseen_work::note_stay(token_count unread, milliseconds stayed, instant now)
{
    auto const age = static_cast<double>((now - m_summed_at).count()) / static_cast<double>(half_life.count());
    auto const left = std::exp2(-std::max(age, 0.0));
    m_unread_tokens = m_unread_tokens * left + static_cast<double>(unread);
    m_stayed_ms = m_stayed_ms * left + static_cast<double>(std::max(stayed, milliseconds(1)).count());
    m_summed_at = now;
}

token_count unseen_work::tokens(
    std::uint32_t others_running, std::uint32_t neighbours_running, news_age const& age) const
{
    auto const near = static_cast<double>(std::min(neighbours_running, others_running));
    auto const far = static_cast<double>(others_running) - near;
    return static_cast<token_count>(tokens_per_running_ms() * (near * age.of_neighbours_ms() + far * age.of_sums_ms()));
}

} // namespace shedhill::dispatch
