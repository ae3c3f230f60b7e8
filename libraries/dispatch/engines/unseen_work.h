// SPDX-License-Identifier: BSD-2-Clause
// What other routers have sent to an engine since their last word of it. Many routers that see the same idle engine on
// the same news would all send there before any of them hears of it. By Little's law an engine at which so many
// attempts run gets new ones at that number over the time that one stays, so the load that is told, which changes
// slowly, foretells the prompts that are not told yet.
#pragma once

#include "libraries/dispatch/types.h"

namespace shedhill::dispatch {

// How old what other routers tell is, learnt from how often they tell.
class news_age {
public:
    // Another router, or the sum of a failure domain, was told again after so long.
    void note_gap(milliseconds gap);
    // Of what neighbours tell of themselves, on average. Sums of other failure domains are made of such news and told
    // at the same pace, so they are twice as old.
    [[nodiscard]] double of_neighbours_ms() const { return m_gap_ms / 2; }
    [[nodiscard]] double of_sums_ms() const { return m_gap_ms; }

private:
    double m_gap_ms { 0 };
};

// Of one pool.
class unseen_work {
public:
    // An attempt of this router has ended: it had so many tokens to read, and stayed so long.
    void note_stay(token_count unread, milliseconds stayed, instant now);

    // Prompt tokens that an engine gets in a millisecond for each attempt that runs there.
    [[nodiscard]] double tokens_per_running_ms() const { return m_stayed_ms > 0 ? m_unread_tokens / m_stayed_ms : 0; }
    // Tokens sent to an engine and not told yet, of which others say that so many attempts run there: all of them, and
    // the part of them that neighbours run.
    [[nodiscard]] token_count tokens(
        std::uint32_t others_running, std::uint32_t neighbours_running, news_age const& age) const;

private:
    // Long enough for some tens of ends at a router that gets a few requests a second.
    static constexpr milliseconds half_life { 5000 };

    // Fading sums over attempts that have ended. As long as none has, nothing is foretold.
    double m_unread_tokens { 0 };
    double m_stayed_ms { 0 };
    instant m_summed_at {};
};

} // namespace shedhill::dispatch
