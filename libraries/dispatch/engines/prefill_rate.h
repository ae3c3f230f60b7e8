// SPDX-License-Identifier: BSD-2-Clause
// Estimates a prefill rate as the ratio of two decaying sums: prompt tokens and the time that their prefill took.
// Samples of several routers about one engine are added up, and old samples lose their weight.
#pragma once

#include "libraries/dispatch/engines/engine_work.h"

namespace shedhill::dispatch {

class prefill_rate {
public:
    explicit prefill_rate(milliseconds half_life)
        : m_half_life(half_life)
    {
    }

    void add(prefill_sample const& sample, instant now);
    // Returns the sum of all samples, decayed to `now`.
    [[nodiscard]] prefill_sample decayed_sum(instant now) const;
    // Returns the rate in tokens per millisecond. `prior` is added to the samples; it stands for what was assumed
    // before any sample.
    [[nodiscard]] double tokens_per_ms(prefill_sample const& prior, instant now) const;

private:
    milliseconds m_half_life;
    prefill_sample m_sum;
    // The time to which m_sum has decayed.
    instant m_updated_at {};
};

} // namespace shedhill::dispatch
