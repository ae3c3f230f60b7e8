// SPDX-License-Identifier: BSD-2-Clause
// Limits of calls, and what the list's calls show of the others.
#include "libraries/dispatch/store_followers.h"

namespace shedhill::dispatch {

namespace {

// NOTE: A slow store takes long over every call; giving up early would mean never to hear it.
constexpr milliseconds answer_limit { 900 };

} // namespace

std::string_view name_of(table_name table)
{
    switch (table) {
    case table_name::configuration:
        return "configuration";
    case table_name::endpoints:
        return "endpoints";
    case table_name::routers:
        return "routers";
    case table_name::count:
        break;
    }
    return "none";
}

std::string_view name_of(table_follower::failure reason)
{
    switch (reason) {
    case table_follower::failure::no_answer:
        return "no_answer";
    case table_follower::failure::refused:
        return "refused";
    case table_follower::failure::history_gone:
        return "history_gone";
    }
    return "none";
}

store_followers::store_followers(options const& made_with)
    : m_states { table_state(made_with[0]), table_state(made_with[1]), table_state(made_with[2]) }
{
}

std::optional<store_call> store_followers::take_next(table_name table, instant now)
{
    auto& state = state_of(table);
    auto const next = state.follower.take_next(now);
    if (next.kind == table_follower::call_kind::none)
        return std::nullopt;
    state.is_calling = true;
    state.is_doubted = false;
    state.called_at = now;
    state.wait = next.kind == table_follower::call_kind::read ? milliseconds(0) : next.wait;
    return store_call { table, next, answer_limit + state.wait };
}

table_follower::page_outcome store_followers::take_page(table_name table,
    std::vector<table_follower::changed_row> const& rows, std::uint64_t version, bool has_more, instant now)
{
    auto& state = state_of(table);
    bool const was_failing = state.follower.is_failing();
    note(store_note::what_happened::call_answered, table, {}, now);
    auto const outcome = state.follower.take_page(rows, version, has_more, now);
    if (was_failing)
        note(store_note::what_happened::regained, table, {}, now);
    state.is_calling = false;
    m_answered_at = now;
    if (table == table_name::endpoints)
        take_list_change(was_failing);
    return outcome;
}

void store_followers::take_failure(table_name table, table_follower::failure what, instant now, std::uint64_t draw)
{
    auto& state = state_of(table);
    bool const was_failing = state.follower.is_failing();
    note(state.is_doubted ? store_note::what_happened::call_given_up : store_note::what_happened::call_failed, table,
        what, now);
    state.follower.take_failure(what, now, draw);
    state.is_calling = false;
    if (!was_failing && state.follower.is_failing())
        note(store_note::what_happened::lost, table, what, now);
    if (table == table_name::endpoints)
        take_list_change(was_failing);
    else if (std::exchange(state.is_doubted, false) && !of(table_name::endpoints).is_failing())
        state.follower.end_back_off(now);
}

// The list is asked most often: when the store stops answering it, or answers it again, calls for the others that are
// being held may never be answered.
void store_followers::take_list_change(bool was_failing)
{
    bool const is_failing = of(table_name::endpoints).is_failing();
    if (is_failing == was_failing)
        return;
    for (auto const other : { table_name::configuration, table_name::routers }) {
        auto& state = state_of(other);
        state.is_doubted = state.is_calling && state.wait > milliseconds(0);
        if (!is_failing && !state.is_doubted)
            state.follower.end_back_off(m_answered_at);
    }
}

void store_followers::note(
    store_note::what_happened what, table_name table, table_follower::failure reason, instant now)
{
    auto const& state = state_of(table);
    m_notes.push_back({ what, table, reason, state.wait, now - state.called_at, now - m_answered_at });
}

} // namespace shedhill::dispatch
