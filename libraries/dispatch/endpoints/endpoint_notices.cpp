// SPDX-License-Identifier: BSD-2-Clause
// What endpoints tell of themselves in answers: rests, and leavings. A word binds the start that gave it, for as long
// as it holds, whatever rows say meanwhile.
#include "libraries/dispatch/endpoints/endpoint_board.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// A start that said that it leaves ends within minutes; its row may go and come back until then.
constexpr milliseconds leaving_remembered { 3600000 };

} // namespace

notice_change endpoint_board::take_notice(endpoint_key instance, endpoint_notice const& notice, instant now)
{
    auto* const state = find(instance);
    // It may have gone from the list, and come back later.
    auto& word = state != nullptr ? state->word
                                  : m_words_of_gone.try_emplace(instance, gone_word { {}, now }).first->second.word;
    notice_change change;
    change.has_begun_rest = notice.backoff.count() > 0 && !word.rest.is_resting(now);
    change.has_begun_leaving = notice.is_leaving && !word.is_leaving;
    if (notice.backoff.count() > 0) {
        word.rest.note_asked(notice.backoff, now);
        m_last_rest_ends = std::max(m_last_rest_ends, word.rest.until());
    }
    word.is_leaving |= notice.is_leaving;
    if (state == nullptr)
        return change;
    if (change.has_begun_rest && std::ranges::find(m_resting, instance) == m_resting.end())
        m_resting.push_back(instance);
    if (change.has_begun_leaving)
        close(*state);
    return change;
}

std::vector<endpoint_name> endpoint_board::take_ended_rests(instant now)
{
    std::vector<endpoint_name> ended;
    std::erase_if(m_resting, [&](endpoint_key instance) {
        auto const* const state = find(instance);
        if (state != nullptr && state->word.rest.is_resting(now))
            return false;
        if (state != nullptr)
            ended.push_back(state->entry.name);
        return true;
    });
    return ended;
}

std::optional<milliseconds> endpoint_board::all_rest_for(
    pool_name const& pool, region_bound const& regions, instant now) const
{
    if (now >= m_last_rest_ends)
        return std::nullopt;
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return std::nullopt;
    std::optional<instant> first_ends;
    for (auto const* state : found->second) {
        if (!regions.allows(state->region))
            continue;
        if (!state->word.rest.is_resting(now))
            return std::nullopt;
        first_ends = std::min(first_ends.value_or(state->word.rest.until()), state->word.rest.until());
    }
    if (!first_ends)
        return std::nullopt;
    return *first_ends - now;
}

void endpoint_board::keep_word(endpoint_state const& gone, instant now)
{
    if (gone.word.is_leaving || gone.word.rest.is_resting(now))
        m_words_of_gone.insert_or_assign(gone.key, gone_word { gone.word, now });
}

void endpoint_board::recall_word(endpoint_state& state)
{
    auto const kept = m_words_of_gone.find(state.key);
    if (kept == m_words_of_gone.end())
        return;
    state.word = kept->second.word;
    m_words_of_gone.erase(kept);
}

void endpoint_board::forget_old_words(instant now)
{
    std::erase_if(m_words_of_gone, [now](auto const& kept) {
        auto const& [word, since] = kept.second;
        return !word.rest.is_resting(now) && (!word.is_leaving || now - since >= leaving_remembered);
    });
}

std::vector<held_endpoint> endpoint_board::held_endpoints(instant now) const
{
    std::vector<held_endpoint> held;
    for (auto const& [name, state] : m_by_name) {
        auto const add = [&, &state = *state](hold_reason reason, milliseconds left = milliseconds(0)) {
            held.push_back({ state.entry.name, state.entry.pool, state.entry.domain, reason, left });
        };
        if (state->word.rest.is_resting(now))
            add(hold_reason::resting, state->word.rest.until() - now);
        if (state->word.is_leaving)
            add(hold_reason::leaving);
        if (state->entry.is_draining)
            add(hold_reason::draining);
        if (m_evacuated.contains(state->entry.domain))
            add(hold_reason::evacuated);
        if (state->health.is_ejected())
            add(hold_reason::ejected, std::max(state->health.ejected_until() - now, milliseconds(0)));
        if (state->cold.is_cold(now))
            add(hold_reason::cold);
    }
    std::ranges::sort(held, {}, [](held_endpoint const& entry) { return std::pair(entry.name, entry.reason); });
    return held;
}

} // namespace shedhill::dispatch
