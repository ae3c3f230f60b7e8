// SPDX-License-Identifier: BSD-2-Clause
// Applies the results of one table's calls to the calls of the other tables.
#include "libraries/dispatch/store/store_watchers.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The wait of long polls shortly after a failure. With it, a second outage is detected within 1.1 s.
constexpr milliseconds short_poll_wait { 750 };
constexpr milliseconds short_poll_period { 4000 };
// A table that fails while others are answered is called again after a random pause of half of this to all of it.
// Together with answer_timeout, this is within the smallest bound in use (2 s), whatever the probe interval is.
constexpr milliseconds max_retry_pause { 400 };
// The retry pause doubles after each failed read of a complete table, at most three times, because many routers that
// start at once read 450 kB each and an aborted read wastes this work.
constexpr std::uint32_t max_doublings = 3;
// The delay before the next call after a refused one. A call without an answer has no such delay.
constexpr milliseconds refused_pause { 100 };
// The grace time for a missing row, because its answer may still be in transit.
constexpr milliseconds version_check_delay { 100 };
// The store's version may increase by tables that this router does not watch. The pause between calls for unexplained
// versions then grows up to the maximum.
constexpr milliseconds min_version_check_pause { 400 };
constexpr milliseconds max_version_check_pause { 6400 };
constexpr std::int64_t margin_answer_times = 2;

// The order in which tables probe. Requests depend most on the endpoint list.
constexpr std::array all_tables { table_name::endpoints, table_name::configuration, table_name::routers };
// The order in which tables are called for a missing row.
constexpr std::array tables_by_wait { table_name::configuration, table_name::routers, table_name::endpoints };

milliseconds draw_retry_pause(std::uint32_t failed_reads, std::uint64_t draw)
{
    auto const half = max_retry_pause / 2 * (1U << std::min(failed_reads, max_doublings));
    return half + milliseconds(static_cast<std::int64_t>(draw % static_cast<std::uint64_t>(half.count())));
}

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
    case table_name::watched_count:
        break;
    }
    return "none";
}

std::string_view name_of(table_watcher::failure reason)
{
    switch (reason) {
    case table_watcher::failure::no_answer:
        return "no_answer";
    case table_watcher::failure::refused:
        return "refused";
    case table_watcher::failure::history_gone:
        return "history_gone";
    }
    return "none";
}

store_watchers::store_watchers(watch_terms const& terms)
    : m_terms(terms)
    , m_states { table_state { table_watcher(terms.tables[0]) }, table_state { table_watcher(terms.tables[1]) },
        table_state { table_watcher(terms.tables[2]) } }
{
}

void store_watchers::set_terms(watch_terms const& terms, instant now)
{
    // A router that becomes a watcher probes immediately.
    if (terms.is_watcher && !m_terms.is_watcher)
        m_next_probe_at = std::min(m_next_probe_at, now);
    m_terms = terms;
    for (auto const table : all_tables)
        of(table).set_options(terms.of(table));
}

std::optional<store_call> store_watchers::take_next(table_name table, instant now)
{
    auto& state = state_of(table);
    auto const terms = terms_for_call(table, now);
    if (!terms)
        return std::nullopt;
    auto const next = state.watcher.take_next(now, *terms);
    if (next.kind == table_watcher::call_kind::none)
        return std::nullopt;
    state.is_calling = true;
    state.may_be_stale = false;
    state.abandoned_for = abandon_reason::none;
    state.called_at = now;
    state.wait = next.wait;
    state.is_full_read = next.is_part_of_read;
    m_next_probe_at = now + m_terms.probe_interval;
    return store_call { table, next, next.wait + (next.wait > milliseconds(0) ? m_long_poll_margin : answer_timeout) };
}

bool store_watchers::should_abandon(table_name table, instant now)
{
    abandon_stale_long_poll(now);
    return state_of(table).abandoned_for != abandon_reason::none;
}

std::optional<call_terms> store_watchers::terms_for_call(table_name table, instant now) const
{
    auto const& state = state_of(table);
    if (state.is_calling)
        return std::nullopt;
    if (!should_watch(state))
        return call_terms { state.watcher.is_failing() ? milliseconds(0) : short_poll_wait };
    if (m_is_lost)
        return terms_for_probe(table, now);
    call_terms const at_once { milliseconds(0), call_terms::urgency::at_once };
    if (state.watcher.is_failing())
        return now >= state.retry_at ? std::optional(at_once) : std::nullopt;
    if (state.may_be_stale)
        return at_once;
    if (now < m_short_polls_until)
        return call_terms { short_poll_wait };
    // The wait of the list's long poll is reduced by the time since the last answer, so that the store answers at
    // regular intervals, whatever the poll interval is.
    auto const since_answer = std::min(now - state.answered_at, m_terms.of(table).wait);
    return call_terms { table == table_name::endpoints ? m_terms.of(table).wait - since_answer : milliseconds::max() };
}

std::optional<call_terms> store_watchers::terms_for_probe(table_name table, instant now) const
{
    if (now < m_next_probe_at || table != next_probe())
        return std::nullopt;
    return call_terms { milliseconds(0), call_terms::urgency::at_once };
}

bool store_watchers::should_watch(table_state const& state) const
{
    return m_terms.is_watcher || !state.watcher.has_rows();
}

table_name store_watchers::next_probe() const
{
    auto const idle = std::ranges::find_if(all_tables, [this](table_name table) {
        auto const& state = state_of(table);
        return !state.is_calling && should_watch(state);
    });
    return idle == all_tables.end() ? table_name::watched_count : *idle;
}

table_watcher::page_outcome store_watchers::apply_page(table_name table,
    std::vector<table_watcher::changed_row> const& rows, std::uint64_t version, bool has_more, instant now)
{
    auto& state = state_of(table);
    add_event(store_event::event_kind::call_answered, table, {}, now);
    update_long_poll_margin(state, rows.empty(), now);
    update_version_check_pause(state, rows.empty());
    record_store_regained(table, now);
    auto const outcome = state.watcher.apply_page(rows, version, has_more, now);
    state.is_calling = false;
    state.abandoned_for = abandon_reason::none;
    state.failed_reads = 0;
    state.answered_at = now;
    for (auto const& row : rows)
        m_versions.record_row(row.version);
    m_versions.record_newest(version, now);
    return outcome;
}

void store_watchers::apply_failure(table_name table, table_watcher::failure reason, instant now, std::uint64_t draw)
{
    auto& state = state_of(table);
    auto const abandoned_for = std::exchange(state.abandoned_for, abandon_reason::none);
    state.is_calling = false;
    if (abandoned_for != abandon_reason::none)
        return end_abandoned_call(state, table, abandoned_for, now);
    add_event(store_event::event_kind::call_failed, table, reason, now);
    if (reason == table_watcher::failure::history_gone) {
        record_store_regained(table, now);
        return state.watcher.apply_failure(reason, now);
    }
    bool const was_failing = state.watcher.is_failing();
    state.watcher.apply_failure(reason, now);
    state.failed_reads = state.is_full_read ? state.failed_reads + 1 : 0;
    state.retry_at = now + draw_retry_pause(state.failed_reads, draw);
    m_short_polls_until = now + short_poll_period;
    if (!was_failing && !m_is_lost)
        record_store_lost(table, reason, now);
}

void store_watchers::record_store_lost(table_name table, table_watcher::failure reason, instant now)
{
    add_event(store_event::event_kind::lost, table, reason, now);
    m_is_lost = true;
    m_next_probe_at = reason == table_watcher::failure::refused ? now + refused_pause : now;
    abandon_other_calls(table, which_calls::long_polls);
}

void store_watchers::record_store_regained(table_name table, instant now)
{
    if (std::exchange(m_is_lost, false)) {
        add_event(store_event::event_kind::regained, table, {}, now);
        abandon_other_calls(table, which_calls::all);
        for (auto const other : all_tables) {
            auto& state = state_of(other);
            state.may_be_stale = other != table;
            if (state.failed_reads == 0)
                state.retry_at = now;
        }
    }
    m_answered_at = now;
}

void store_watchers::abandon_other_calls(table_name table, which_calls which)
{
    for (auto const other : all_tables) {
        auto& state = state_of(other);
        bool const is_long_poll = state.wait > milliseconds(0);
        // A read that is abandoned would have to start again from the first page.
        if (other != table && state.is_calling && !state.is_full_read && (is_long_poll || which == which_calls::all))
            state.abandoned_for = abandon_reason::store_lost;
    }
}

void store_watchers::end_abandoned_call(table_state& state, table_name table, abandon_reason abandoned_for, instant now)
{
    add_event(store_event::event_kind::call_abandoned, table, table_watcher::failure::no_answer, now);
    state.may_be_stale = true;
    state.retry_at = now;
    if (abandoned_for == abandon_reason::store_lost)
        return state.watcher.apply_failure(table_watcher::failure::no_answer, now);
    state.is_for_newer_version = true;
    state.watcher.end_abandoned_call();
}

void store_watchers::update_long_poll_margin(table_state const& state, bool is_empty, instant now)
{
    // The store may answer a long poll with changes before the wait is over, so that answer does not show the latency.
    if (!is_empty && state.wait > milliseconds(0))
        return;
    auto const took = now - state.called_at - state.wait;
    m_long_poll_margin = std::clamp(took * margin_answer_times, min_long_poll_margin, max_long_poll_margin);
}

void store_watchers::abandon_stale_long_poll(instant now)
{
    auto complete = m_states.front().watcher.version();
    for (auto const& state : m_states)
        complete = std::min(complete, state.watcher.version());
    m_versions.record_complete(complete);
    auto const missing = m_versions.unexplained();
    if (!missing || m_is_lost || now - missing->noticed_at < version_check_delay || now < m_next_version_check_at)
        return;
    for (auto const table : tables_by_wait) {
        auto& state = state_of(table);
        bool const is_long_poll = state.is_calling && state.wait > milliseconds(0);
        if (state.watcher.version() >= missing->version || !is_long_poll || !should_watch(state))
            continue;
        // Only one table is called at a time, because its answer may explain the version.
        state.abandoned_for = abandon_reason::newer_version;
        m_next_version_check_at = now + std::max(m_version_check_pause, min_version_check_pause);
        return;
    }
}

void store_watchers::update_version_check_pause(table_state& state, bool is_empty)
{
    if (!std::exchange(state.is_for_newer_version, false))
        return;
    if (is_empty)
        m_version_check_pause = std::clamp(m_version_check_pause * 2, min_version_check_pause, max_version_check_pause);
    else
        m_version_check_pause = milliseconds(0);
}

void store_watchers::add_event(
    store_event::event_kind kind, table_name table, table_watcher::failure reason, instant now)
{
    auto const& state = state_of(table);
    m_events.push_back({ kind, table, reason, state.wait, now - state.called_at, now - m_answered_at });
}

} // namespace shedhill::dispatch
