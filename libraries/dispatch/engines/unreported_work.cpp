// SPDX-License-Identifier: BSD-2-Clause
// Implements the decaying sums and multiplies the arrival rate by the age of reports.
#include "libraries/dispatch/engines/unreported_work.h"

#include <algorithm>
#include <cmath>

namespace shedhill::dispatch {

namespace {

// A source that was silent for longer was partitioned or has just started; the gap says nothing about the usual
// interval between reports.
constexpr milliseconds max_gap { 1000 };
constexpr double newest_weight = 0.02;

} // namespace

void report_age::record_gap(milliseconds gap)
{
    if (gap <= max_gap)
        m_gap_ms += newest_weight * (static_cast<double>(gap.count()) - m_gap_ms);
}

void unreported_work::record_attempt_duration(token_count prefill_tokens, milliseconds duration, instant now)
{
    auto const age = static_cast<double>((now - m_updated_at).count()) / static_cast<double>(half_life.count());
    auto const remaining = std::exp2(-std::max(age, 0.0));
    m_prefill_tokens = m_prefill_tokens * remaining + static_cast<double>(prefill_tokens);
    m_running_ms = m_running_ms * remaining + static_cast<double>(std::max(duration, milliseconds(1)).count());
    m_updated_at = now;
}

token_count unreported_work::tokens(
    std::uint32_t others_running, std::uint32_t domain_peers_running, report_age const& age) const
{
    auto const near = static_cast<double>(std::min(domain_peers_running, others_running));
    auto const far = static_cast<double>(others_running) - near;
    return static_cast<token_count>(
        tokens_per_running_ms() * (near * age.of_domain_peers_ms() + far * age.of_domain_sums_ms()));
}

} // namespace shedhill::dispatch
