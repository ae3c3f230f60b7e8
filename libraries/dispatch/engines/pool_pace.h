// SPDX-License-Identifier: BSD-2-Clause
// What the engines of a pool have in common: how fast one reads about which nothing is known yet, how long a first
// event takes with nothing to read, and by how much forecasts err. Learnt from all of them; the first guess is what the
// configuration says that all endpoints produce together.
#pragma once

#include "libraries/dispatch/engines/reading_pace.h"

namespace shedhill::dispatch {

class pool_pace {
public:
    // What all endpoints together produce in a second, 0 where it is not told, and how many there are.
    void expect(token_count tokens_per_second, std::size_t endpoints, std::uint32_t tokens_per_event);

    // Counts from the next update on.
    void add(reading_evidence const& seen, instant now) { m_pace.add(seen, now); }
    // A first event took so long besides the reading of what came before its answer; counts by its weight, 0 to 1.
    void note_bare_first_event(double took_ms, double weight);

    // A first event came so much sooner or later than foreseen.
    void note_error(double error_ms);
    // The usual error of a forecast, whatever its sign.
    [[nodiscard]] double usual_error_ms() const { return m_usual_error_ms; }

    // As of the last update.
    [[nodiscard]] double tokens_per_ms() const { return m_tokens_per_ms; }
    void update(instant now);
    [[nodiscard]] double bare_first_event_ms() const { return m_bare_first_event_ms; }

private:
    // Guessed where the configuration tells nothing; a few first events correct it.
    static constexpr double usual_tokens_per_ms = 50;
    // Long enough for hundreds of first events, so that one engine's trouble does not change what is thought of others.
    static constexpr milliseconds half_life { 10000 };

    reading_pace m_pace { half_life };
    double m_guessed_tokens_per_ms { usual_tokens_per_ms };
    double m_tokens_per_ms { usual_tokens_per_ms };
    double m_bare_first_event_ms { 0 };
    double m_usual_error_ms { 0 };
};

} // namespace shedhill::dispatch
