// SPDX-License-Identifier: BSD-2-Clause
// Implements the initial estimates, the rate, the base latency and the average error.
#include "libraries/dispatch/engines/pool_prefill_rate.h"

#include <cmath>

namespace shedhill::dispatch {

namespace {

constexpr double ms_per_second = 1000;
// Lower bound of the initial rate. At this rate an engine still starts a usual prompt within half a second.
constexpr double min_prior_tokens_per_ms = 20;
// Weight of the initial rate against samples: about five long prompts.
constexpr double prior_weight_tokens = 20000;
// Initial base latency: the network round trip, and one step for each token of the first event.
constexpr double prior_round_trip_ms = 22;
constexpr double prior_step_ms = 5;
// The average follows some tens of first events, so that a single request that had problems changes it little.
constexpr double newest_weight = 0.05;
// Larger errors count as this one: a first event that never comes is not an error of the estimate.
constexpr double max_error_ms = 250;
// No first event arrives sooner: it takes a network round trip and one step.
constexpr double min_base_latency_ms = 5;

} // namespace

void pool_prefill_rate::set_prior(token_count tokens_per_second, std::size_t endpoints, std::uint32_t tokens_per_event)
{
    m_prior_tokens_per_ms = default_tokens_per_ms;
    if (tokens_per_second > 0 && endpoints > 0)
        m_prior_tokens_per_ms
            = std::max(static_cast<double>(tokens_per_second) / ms_per_second / static_cast<double>(endpoints),
                min_prior_tokens_per_ms);
    // Lists and configurations are received repeatedly; what was learned in the meantime stays.
    if (m_base_latency_ms != 0)
        return;
    m_tokens_per_ms = m_prior_tokens_per_ms;
    m_base_latency_ms = prior_round_trip_ms + prior_step_ms * tokens_per_event;
}

void pool_prefill_rate::record_base_latency(double took_ms, double weight)
{
    auto const bounded = std::clamp(took_ms, min_base_latency_ms, 2 * m_base_latency_ms);
    m_base_latency_ms += newest_weight * weight * (bounded - m_base_latency_ms);
}

void pool_prefill_rate::record_error(double error_ms)
{
    m_mean_absolute_error_ms += newest_weight * (std::min(std::abs(error_ms), max_error_ms) - m_mean_absolute_error_ms);
}

void pool_prefill_rate::update(instant now)
{
    m_tokens_per_ms = m_rate.tokens_per_ms({ prior_weight_tokens, prior_weight_tokens / m_prior_tokens_per_ms }, now);
}

} // namespace shedhill::dispatch
