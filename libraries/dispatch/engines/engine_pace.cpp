// SPDX-License-Identifier: BSD-2-Clause
// Forecast and what contradicts it.
#include "libraries/dispatch/engines/engine_pace.h"

namespace shedhill::dispatch {

namespace {

// What the pool's pace weighs against what was seen of the engine itself: about two long prompts.
constexpr double tokens_of_the_pool = 6000;
// Steps are slow where reading is, within these bounds: part of a bare first event is the way there and back.
constexpr double least_of_bare = 0.6;
constexpr double most_of_bare = 1.7;

// One first event tells as much as that of a long prompt, however much was before it: a queue of many is still one.
double weight_of(engine_run const& run)
{
    constexpr double tokens_of_a_long_prompt = 8000;
    return std::min(tokens_of_a_long_prompt / std::max(run.read_tokens, 1.0), 1.0);
}

} // namespace

first_event_forecast engine_pace::forecast(token_count unread, token_count unkept, pool_pace const& pool) const
{
    auto const slowness = std::clamp(m_pool_tokens_per_ms / m_tokens_per_ms, least_of_bare, most_of_bare);
    auto const bare_ms = pool.bare_first_event_ms() * slowness;
    // What was read while a bare first event lasts still counts as unread.
    return { std::max(time_of(unread) - bare_ms, 0.0), time_of(unkept), bare_ms };
}

engine_run engine_pace::begin(token_count unread, token_count unkept, token_count held, pool_pace const& pool) const
{
    auto const foreseen = forecast(unread, unkept, pool);
    return { unkept, held, foreseen, (foreseen.before_ms + foreseen.own_reading_ms) * m_tokens_per_ms, false, {} };
}

reading_evidence engine_pace::seen_in(engine_run const& run, double took_ms)
{
    auto const& foreseen = run.forecast;
    auto const reading_ms = foreseen.before_ms + foreseen.own_reading_ms;
    // What it was late by has been noted each tenth of a second as it passed. What is late by less shows little of the
    // pace: in that time others sent prompts there of which nothing was known here.
    auto const early_ms = std::max(foreseen.total_ms() - took_ms, 0.0);
    auto const weight = weight_of(run);
    return { weight * run.read_tokens, weight * std::max(reading_ms - early_ms * foreseen.reading_part(), 0.0) };
}

reading_evidence engine_pace::seen_in_overdue(engine_run const& run, double late_ms)
{
    return { 0, weight_of(run) * late_ms * run.forecast.reading_part() };
}

void engine_pace::update(pool_pace const& pool, instant now)
{
    m_pool_tokens_per_ms = pool.tokens_per_ms();
    m_tokens_per_ms = m_pace.tokens_per_ms({ tokens_of_the_pool, tokens_of_the_pool / m_pool_tokens_per_ms }, now);
}

} // namespace shedhill::dispatch
