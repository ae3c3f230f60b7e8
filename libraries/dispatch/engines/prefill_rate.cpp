// SPDX-License-Identifier: BSD-2-Clause
// Implements the decaying sums.
#include "libraries/dispatch/engines/prefill_rate.h"

#include <cmath>

namespace shedhill::dispatch {

namespace {

// No engine prefills slower or faster; a rate beyond these bounds is a measurement error.
constexpr double min_tokens_per_ms = 1;
constexpr double max_tokens_per_ms = 2000;

} // namespace

prefill_sample prefill_rate::decayed_sum(instant now) const
{
    auto const age = static_cast<double>((now - m_updated_at).count()) / static_cast<double>(m_half_life.count());
    auto const remaining = std::exp2(-std::max(age, 0.0));
    return { m_sum.tokens * remaining, m_sum.time_ms * remaining };
}

void prefill_rate::add(prefill_sample const& sample, instant now)
{
    m_sum = decayed_sum(now);
    m_sum += sample;
    m_updated_at = now;
}

double prefill_rate::tokens_per_ms(prefill_sample const& prior, instant now) const
{
    auto sum = decayed_sum(now);
    sum += prior;
    return std::clamp(sum.tokens / std::max(sum.time_ms, 1e-3), min_tokens_per_ms, max_tokens_per_ms);
}

} // namespace shedhill::dispatch
