// SPDX-License-Identifier: BSD-2-Clause
// Implements the estimate and the samples that correct it.
#include "libraries/dispatch/engines/engine_prefill_rate.h"

namespace shedhill::dispatch {

namespace {

// Weight of the pool's rate against the engine's own samples: about two long prompts.
constexpr double pool_weight_tokens = 6000;
// The base latency scales with the engine's slowness within these bounds, because steps are slow where prefill is slow,
// but the network round trip is part of the base latency.
constexpr double min_base_factor = 0.6;
constexpr double max_base_factor = 1.7;

// A first event weighs at most as much as that of one long prompt, however much prefill was pending before it: one
// event after a long queue is still a single sample.
double weight_of(engine_run const& run)
{
    constexpr double long_prompt_tokens = 8000;
    return std::min(long_prompt_tokens / std::max(run.prefill_tokens, 1.0), 1.0);
}

} // namespace

first_event_estimate engine_prefill_rate::estimate(
    token_count pending_prefill, token_count uncached_tokens, pool_prefill_rate const& pool) const
{
    auto const slowness = std::clamp(m_pool_tokens_per_ms / m_tokens_per_ms, min_base_factor, max_base_factor);
    auto const base_ms = pool.base_latency_ms() * slowness;
    // Prompt tokens that were prefilled during the base latency still count as pending.
    return { std::max(prefill_time_ms(pending_prefill) - base_ms, 0.0), prefill_time_ms(uncached_tokens), base_ms };
}

engine_run engine_prefill_rate::start_run(token_count pending_prefill, token_count uncached_tokens,
    token_count kv_tokens, pool_prefill_rate const& pool) const
{
    auto const expected = estimate(pending_prefill, uncached_tokens, pool);
    return { uncached_tokens, kv_tokens, expected, (expected.queue_ms + expected.own_prefill_ms) * m_tokens_per_ms,
        false, {} };
}

prefill_sample engine_prefill_rate::sample_of_first_event(engine_run const& run, double took_ms)
{
    auto const& expected = run.estimate;
    auto const prefill_ms = expected.queue_ms + expected.own_prefill_ms;
    // Longer delays were already recorded each tenth of a second while the event was overdue. A shorter delay says
    // little about the rate, because other routers may have sent prompts in that time that this router does not know
    // of.
    auto const early_ms = std::max(expected.total_ms() - took_ms, 0.0);
    auto const weight = weight_of(run);
    return { weight * run.prefill_tokens, weight * std::max(prefill_ms - early_ms * expected.prefill_fraction(), 0.0) };
}

prefill_sample engine_prefill_rate::sample_of_overdue(engine_run const& run, double late_ms)
{
    return { 0, weight_of(run) * late_ms * run.estimate.prefill_fraction() };
}

void engine_prefill_rate::update(pool_prefill_rate const& pool, instant now)
{
    m_pool_tokens_per_ms = pool.tokens_per_ms();
    m_tokens_per_ms = m_rate.tokens_per_ms({ pool_weight_tokens, pool_weight_tokens / m_pool_tokens_per_ms }, now);
}

} // namespace shedhill::dispatch
