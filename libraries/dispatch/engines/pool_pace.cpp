// SPDX-License-Identifier: BSD-2-Clause
// Guess, sums and the time of a bare first event.
#include "libraries/dispatch/engines/pool_pace.h"

#include <cmath>

namespace shedhill::dispatch {

namespace {

constexpr double ms_per_second = 1000;
// The least guess, at which an engine still begins a usual prompt in half a second.
constexpr double least_guess = 20;
// What the guess weighs against what is seen: about five long prompts.
constexpr double guessed_tokens = 20000;
// The guess for a first event with nothing to read: the way there and back, and the steps of its tokens.
constexpr double guessed_way_ms = 22;
constexpr double guessed_step_ms = 5;
// Some tens of first events change the belief: one request that met trouble is no rule.
constexpr double weight_of_one = 0.05;
// An error that is larger counts as so large: a first event that never comes is no error of forecasts.
constexpr double most_error_ms = 250;
// No first event comes sooner: the way there and back, and a step.
constexpr double least_bare_ms = 5;

} // namespace

void pool_pace::expect(token_count tokens_per_second, std::size_t endpoints, std::uint32_t tokens_per_event)
{
    m_guessed_tokens_per_ms = usual_tokens_per_ms;
    if (tokens_per_second > 0 && endpoints > 0)
        m_guessed_tokens_per_ms = std::max(
            static_cast<double>(tokens_per_second) / ms_per_second / static_cast<double>(endpoints), least_guess);
    // Lists and configurations come again; what was learnt meanwhile stays.
    if (m_bare_first_event_ms != 0)
        return;
    m_tokens_per_ms = m_guessed_tokens_per_ms;
    m_bare_first_event_ms = guessed_way_ms + guessed_step_ms * tokens_per_event;
}

void pool_pace::note_bare_first_event(double took_ms, double weight)
{
    auto const bounded = std::clamp(took_ms, least_bare_ms, 2 * m_bare_first_event_ms);
    m_bare_first_event_ms += weight_of_one * weight * (bounded - m_bare_first_event_ms);
}

void pool_pace::note_error(double error_ms)
{
    m_usual_error_ms += weight_of_one * (std::min(std::abs(error_ms), most_error_ms) - m_usual_error_ms);
}

void pool_pace::update(instant now)
{
    m_tokens_per_ms = m_pace.tokens_per_ms({ guessed_tokens, guessed_tokens / m_guessed_tokens_per_ms }, now);
}

} // namespace shedhill::dispatch
