// SPDX-License-Identifier: BSD-2-Clause
// When an engine's next first event will come. It comes after what is to be read before it, its own reading and a bare
// first event; how fast this engine reads is learnt from each first event, by this router or another, and from each
// that is overdue: no event is no progress. An engine of which nothing was seen of late is believed to be like its
// pool.
#pragma once

#include "libraries/dispatch/engines/pool_pace.h"

namespace shedhill::dispatch {

// Parts of the time until a first event, in milliseconds.
struct first_event_forecast {
    double before_ms { 0 };
    double own_reading_ms { 0 };
    double bare_ms { 0 };

    [[nodiscard]] double total_ms() const { return before_ms + own_reading_ms + bare_ms; }
    // The part of an error that the reading bears, from 0 to 1; a bare first event bears the rest. What takes the
    // longer time bears nearly all of it, so that long prompts show the pace and short ones the bare first event.
    [[nodiscard]] double reading_part() const
    {
        auto const reading_ms = before_ms + own_reading_ms;
        return reading_ms * reading_ms / std::max(reading_ms * reading_ms + bare_ms * bare_ms, 1.0);
    }
};

// An attempt at an engine from its being sent to its first event, and what it holds until its end.
struct engine_run {
    token_count unkept { 0 };
    token_count held { 0 };
    first_event_forecast forecast;
    // Tokens that are to be read until then, its own and those before it.
    double read_tokens { 0 };
    bool has_first_event { false };
    instant sent_at {};

    [[nodiscard]] engine_work work() const { return { 1, has_first_event ? 0 : unkept, held }; }
};

class engine_pace {
public:
    [[nodiscard]] first_event_forecast forecast(token_count unread, token_count unkept, pool_pace const& pool) const;
    // An attempt that is sent now, with so many unread tokens there.
    [[nodiscard]] engine_run begin(
        token_count unread, token_count unkept, token_count held, pool_pace const& pool) const;
    // Milliseconds in which it reads so many tokens.
    [[nodiscard]] double time_of(token_count tokens) const { return static_cast<double>(tokens) / m_tokens_per_ms; }
    [[nodiscard]] double tokens_per_ms() const { return m_tokens_per_ms; }

    // What the first event shows of the pace. It took so long since the attempt was sent.
    [[nodiscard]] static reading_evidence seen_in(engine_run const& run, double took_ms);
    // The first event is late; so much of that time has passed since it was last noted.
    [[nodiscard]] static reading_evidence seen_in_overdue(engine_run const& run, double late_ms);
    // Counts from the next update on.
    void add(reading_evidence const& seen, instant now) { m_pace.add(seen, now); }
    // Takes up what was added, and believes less in what was seen as it grows old.
    void update(pool_pace const& pool, instant now);

private:
    // Short enough that an engine which stumbles is avoided, and tried again, within a few seconds; an engine of fifty
    // begins some thirty requests in that time.
    static constexpr milliseconds half_life { 2000 };

    reading_pace m_pace { half_life };
    // Derived from what was seen and the pool, at the last update.
    double m_tokens_per_ms { 50 };
    double m_pool_tokens_per_ms { 50 };
};

} // namespace shedhill::dispatch
