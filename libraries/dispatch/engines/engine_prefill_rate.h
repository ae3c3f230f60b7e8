// SPDX-License-Identifier: BSD-2-Clause
// Estimates when an engine's next first event will arrive: after the prefill that is already pending, the prefill of
// the request's own prompt, and a base latency. The engine's prefill rate is learned from each first event, of this
// router or of others, and from each overdue first event, because a missing event shows a lack of progress. An engine
// without recent samples is assumed to match its pool.
#pragma once

#include "libraries/dispatch/engines/pool_prefill_rate.h"

namespace shedhill::dispatch {

// The components of the time until a first event, in milliseconds: pending prefill before the request, the prefill of
// its own prompt, and the base latency.
struct first_event_estimate {
    double queue_ms { 0 };
    double own_prefill_ms { 0 };
    double base_ms { 0 };

    [[nodiscard]] double total_ms() const { return queue_ms + own_prefill_ms + base_ms; }
    // Fraction of an estimate's error that is attributed to the prefill, from 0 to 1; the rest is attributed to the
    // base latency. The larger component receives nearly all of it, so that long prompts correct the prefill rate and
    // short ones the base latency.
    [[nodiscard]] double prefill_fraction() const
    {
        auto const prefill_ms = queue_ms + own_prefill_ms;
        return prefill_ms * prefill_ms / std::max(prefill_ms * prefill_ms + base_ms * base_ms, 1.0);
    }
};

// An attempt at an engine, from its sending to its end: the estimate of its first event, and the KV tokens that it
// occupies.
struct engine_run {
    token_count uncached_tokens { 0 };
    token_count kv_tokens { 0 };
    first_event_estimate estimate;
    // Prompt tokens to be prefilled until the first event: those of the request and those pending before it.
    double prefill_tokens { 0 };
    bool has_first_event { false };
    instant sent_at {};

    [[nodiscard]] engine_work work() const { return { 1, has_first_event ? 0 : uncached_tokens, kv_tokens }; }
};

// The learned prefill rate of one engine.
class engine_prefill_rate {
public:
    // Estimates the first event of a request that is sent now: the engine has to prefill `pending_prefill` tokens
    // before it and `uncached_tokens` of its own prompt.
    [[nodiscard]] first_event_estimate estimate(
        token_count pending_prefill, token_count uncached_tokens, pool_prefill_rate const& pool) const;
    // Creates the record of an attempt that is sent now. `pending_prefill` is the number of prompt tokens already
    // pending there.
    [[nodiscard]] engine_run start_run(token_count pending_prefill, token_count uncached_tokens, token_count kv_tokens,
        pool_prefill_rate const& pool) const;
    // Time that the prefill of the tokens takes, in milliseconds.
    [[nodiscard]] double prefill_time_ms(token_count tokens) const
    {
        return static_cast<double>(tokens) / m_tokens_per_ms;
    }
    [[nodiscard]] double tokens_per_ms() const { return m_tokens_per_ms; }

    // Returns the sample of the prefill rate from a first event that arrived `took_ms` after the attempt was sent.
    [[nodiscard]] static prefill_sample sample_of_first_event(engine_run const& run, double took_ms);
    // Returns the sample from an overdue first event; `late_ms` has passed since the last sample of this attempt.
    [[nodiscard]] static prefill_sample sample_of_overdue(engine_run const& run, double late_ms);
    // Adds a sample, which takes effect with the next update.
    void add(prefill_sample const& sample, instant now) { m_rate.add(sample, now); }
    // Computes the rate from all samples, in which older samples weigh less.
    void update(pool_prefill_rate const& pool, instant now);

private:
    // The half-life is short enough that a slow engine is avoided, and tried again, within a few seconds. In a pool of
    // fifty, an engine starts some thirty requests in that time.
    static constexpr milliseconds half_life { 2000 };

    prefill_rate m_rate { half_life };
    // Derived from the samples and the pool's rate at the last update.
    double m_tokens_per_ms { 50 };
    double m_pool_tokens_per_ms { 50 };
};

} // namespace shedhill::dispatch
