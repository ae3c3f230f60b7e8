// SPDX-License-Identifier: BSD-2-Clause
// The store's side, call by call.
#include "tests/dispatch/store_play.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds tick_time { 20 };
constexpr milliseconds answer_time { 5 };
constexpr milliseconds slow_answer_time { 245 };
constexpr std::uint64_t one_answer_lost_in = 3;
constexpr std::array all_tables { table_name::configuration, table_name::endpoints, table_name::routers };

} // namespace

store_play::store_play(
    watch_terms const& terms, std::vector<store_outage> outages, std::vector<store_change> changes, std::uint64_t seed)
    : m_followers(terms)
    , m_outages(std::move(outages))
    , m_changes(std::move(changes))
    , m_random(seed)
    , m_known_at(m_changes.size())
{
    std::ranges::sort(m_changes, {}, &store_change::at);
    for (auto const table : all_tables)
        m_rows.at(static_cast<std::size_t>(table))["first"] = ++m_version;
}

void store_play::play_until(instant end)
{
    for (; m_now < end; m_now += tick_time) {
        make_changes();
        for (auto const table : all_tables)
            tick(table);
        note_known();
        std::ranges::move(m_followers.take_events(), std::back_inserter(m_notes));
    }
}

void store_play::make_changes()
{
    for (; m_made < m_changes.size() && m_changes[m_made].at <= m_now; ++m_made) {
        m_rows.at(static_cast<std::size_t>(m_changes[m_made].table))["changed"] = ++m_version;
        m_change_versions.push_back(m_version);
    }
}

void store_play::tick(table_name table)
{
    auto& pending = m_pending.at(static_cast<std::size_t>(table));
    if (pending) {
        serve(*pending);
        if (pending->answered_at && *pending->answered_at <= m_now)
            end_call(table);
        else if (m_now >= pending->made_at + pending->call.limit || m_followers.should_abandon(table, m_now)) {
            m_followers.apply_failure(table, table_watcher::failure::no_answer, m_now, m_random());
            pending.reset();
        }
    }
    if (pending)
        return;
    auto const next = m_followers.take_next(table, m_now);
    if (!next)
        return;
    ++m_calls;
    pending_call made;
    made.call = *next;
    made.made_at = m_now;
    serve(made);
    pending = std::move(made);
}

void store_play::serve(pending_call& pending)
{
    if (pending.answered_at || pending.is_unheard)
        return;
    switch (trouble_at(m_now)) {
    case store_trouble::silent:
        pending.is_unheard = true;
        return;
    case store_trouble::busy:
        return fail(pending, table_watcher::failure::refused);
    case store_trouble::resetting:
        return fail(pending, table_watcher::failure::no_answer);
    case store_trouble::none:
    case store_trouble::slow:
    case store_trouble::losing:
        break;
    }
    bool const is_read = pending.call.request.kind == table_watcher::call_kind::read;
    auto rows = rows_since(pending.call.table, is_read ? 0 : pending.call.request.since);
    if (is_read || !rows.empty() || m_now >= pending.made_at + pending.call.request.wait) {
        pending.rows = std::move(rows);
        answer(pending);
    }
}

void store_play::answer(pending_call& pending)
{
    auto const trouble = trouble_at(m_now);
    pending.version = m_version;
    if (trouble == store_trouble::losing && m_random() % one_answer_lost_in == 0)
        pending.is_unheard = true;
    else
        pending.answered_at = m_now + (trouble == store_trouble::slow ? slow_answer_time : answer_time);
}

void store_play::fail(pending_call& pending, table_watcher::failure what)
{
    pending.failure = what;
    pending.answered_at = m_now + answer_time;
}

void store_play::end_call(table_name table)
{
    auto const ended = *std::exchange(m_pending.at(static_cast<std::size_t>(table)), std::nullopt);
    if (ended.failure)
        m_followers.apply_failure(table, *ended.failure, m_now, m_random());
    else
        (void)m_followers.apply_page(table, ended.rows, ended.version, false, m_now);
}

void store_play::note_known()
{
    for (std::size_t change = 0; change < m_change_versions.size(); ++change) {
        if (!m_known_at[change]
            && m_followers.of(m_changes[change].table).changed_version() >= m_change_versions[change])
            m_known_at[change] = m_now;
    }
}

std::optional<milliseconds> store_play::time_to_know(std::size_t change) const
{
    auto const known_at = m_known_at.at(change);
    if (!known_at)
        return std::nullopt;
    auto from = m_changes[change].at;
    // In trouble that goes on, or begins before it is known, nobody can know it.
    for (auto const& outage : m_outages) {
        if (outage.from <= *known_at && outage.until > from)
            from = outage.until;
    }
    return std::max(*known_at - from, milliseconds(0));
}

store_trouble store_play::trouble_at(instant time) const
{
    for (auto const& outage : m_outages) {
        if (time >= outage.from && time < outage.until)
            return outage.trouble;
    }
    return store_trouble::none;
}

std::vector<table_watcher::changed_row> store_play::rows_since(table_name table, std::uint64_t since) const
{
    std::vector<table_watcher::changed_row> rows;
    for (auto const& [key, version] : m_rows.at(static_cast<std::size_t>(table))) {
        if (version > since)
            rows.push_back({ key, std::to_string(version), version });
    }
    return rows;
}

} // namespace shedhill::dispatch
