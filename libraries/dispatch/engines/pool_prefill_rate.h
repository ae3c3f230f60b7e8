// SPDX-License-Identifier: BSD-2-Clause
// Estimates what the engines of a pool have in common: the prefill rate of an engine without samples, the base latency
// of a first event without pending prefill, and the error of estimates. It learns from all engines of the pool; the
// initial rate is derived from the configured throughput of all endpoints.
#pragma once

#include "libraries/dispatch/engines/prefill_rate.h"

namespace shedhill::dispatch {

// The learned prefill rate and base latency of the engines of one pool.
class pool_prefill_rate {
public:
    // Sets the initial estimates from the configured throughput of all endpoints together, in tokens per second (0
    // where it is not configured), and the number of endpoints.
    void set_prior(token_count tokens_per_second, std::size_t endpoints, std::uint32_t tokens_per_event);

    // Adds a sample, which takes effect with the next update.
    void add(prefill_sample const& sample, instant now) { m_rate.add(sample, now); }
    // Records the time that a first event took besides prefill. Its weight is from 0 to 1.
    void record_base_latency(double took_ms, double weight);

    // Records the difference between the actual and the estimated time of a first event.
    void record_error(double error_ms);
    // Moving average of the absolute error of estimates.
    [[nodiscard]] double mean_absolute_error_ms() const { return m_mean_absolute_error_ms; }

    // Prefill rate as of the last update.
    [[nodiscard]] double tokens_per_ms() const { return m_tokens_per_ms; }
    void update(instant now);
    [[nodiscard]] double base_latency_ms() const { return m_base_latency_ms; }

private:
    // Initial rate where no throughput is configured; a few first events correct it.
    static constexpr double default_tokens_per_ms = 50;
    // The half-life is long enough for hundreds of first events, so that problems of one engine do not change the
    // estimate for the others.
    static constexpr milliseconds half_life { 10000 };

    prefill_rate m_rate { half_life };
    double m_prior_tokens_per_ms { default_tokens_per_ms };
    double m_tokens_per_ms { default_tokens_per_ms };
    double m_base_latency_ms { 0 };
    double m_mean_absolute_error_ms { 0 };
};

} // namespace shedhill::dispatch
