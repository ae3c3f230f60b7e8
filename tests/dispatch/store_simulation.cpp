// SPDX-License-Identifier: BSD-2-Clause
// Simulates the store and each call that the watchers make to it.
#include "tests/dispatch/store_simulation.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds tick_time { 20 };
constexpr milliseconds answer_time { 5 };
constexpr milliseconds slow_answer_time { 245 };
// While the store loses answers, one in this many is lost.
constexpr std::uint64_t one_answer_lost_in = 3;
constexpr std::array all_tables { table_name::configuration, table_name::endpoints, table_name::routers };

} // namespace

store_simulation::store_simulation(
    watch_terms const& terms, std::vector<store_outage> outages, std::vector<store_change> changes, std::uint64_t seed)
    : m_watchers(terms)
    , m_outages(std::move(outages))
    , m_changes(std::move(changes))
    , m_random(seed)
    , m_received_at(m_changes.size())
{
    std::ranges::sort(m_changes, {}, &store_change::at);
    for (auto const table : all_tables)
        m_rows.at(static_cast<std::size_t>(table))["first"] = ++m_version;
}

void store_simulation::run_until(instant end)
{
    for (; m_now < end; m_now += tick_time) {
        apply_changes();
        for (auto const table : all_tables)
            tick(table);
        record_received();
        std::ranges::move(m_watchers.take_events(), std::back_inserter(m_events));
    }
}

void store_simulation::apply_changes()
{
    for (; m_applied_changes < m_changes.size() && m_changes[m_applied_changes].at <= m_now; ++m_applied_changes) {
        m_rows.at(static_cast<std::size_t>(m_changes[m_applied_changes].table))["changed"] = ++m_version;
        m_change_versions.push_back(m_version);
    }
}

void store_simulation::tick(table_name table)
{
    auto& pending = m_pending.at(static_cast<std::size_t>(table));
    if (pending) {
        serve(*pending);
        if (pending->answered_at && *pending->answered_at <= m_now)
            end_call(table);
        else if (m_now >= pending->sent_at + pending->call.limit || m_watchers.should_abandon(table, m_now)) {
            m_watchers.apply_failure(table, table_watcher::failure::no_answer, m_now, m_random());
            pending.reset();
        }
    }
    if (pending)
        return;
    auto const next = m_watchers.take_next(table, m_now);
    if (!next)
        return;
    ++m_calls;
    pending_call started;
    started.call = *next;
    started.sent_at = m_now;
    serve(started);
    pending = std::move(started);
}

void store_simulation::serve(pending_call& pending)
{
    if (pending.answered_at || pending.is_unanswered)
        return;
    switch (fault_at(m_now)) {
    case store_fault::silent:
        pending.is_unanswered = true;
        return;
    case store_fault::busy:
        return fail(pending, table_watcher::failure::refused);
    case store_fault::resetting:
        return fail(pending, table_watcher::failure::no_answer);
    case store_fault::none:
    case store_fault::slow:
    case store_fault::losing_answers:
        break;
    }
    bool const is_read = pending.call.request.kind == table_watcher::call_kind::read;
    auto rows = rows_since(pending.call.table, is_read ? 0 : pending.call.request.since);
    if (is_read || !rows.empty() || m_now >= pending.sent_at + pending.call.request.wait) {
        pending.rows = std::move(rows);
        answer(pending);
    }
}

void store_simulation::answer(pending_call& pending)
{
    auto const fault = fault_at(m_now);
    pending.version = m_version;
    if (fault == store_fault::losing_answers && m_random() % one_answer_lost_in == 0)
        pending.is_unanswered = true;
    else
        pending.answered_at = m_now + (fault == store_fault::slow ? slow_answer_time : answer_time);
}

void store_simulation::fail(pending_call& pending, table_watcher::failure failure_kind)
{
    pending.failure = failure_kind;
    pending.answered_at = m_now + answer_time;
}

void store_simulation::end_call(table_name table)
{
    auto const ended = *std::exchange(m_pending.at(static_cast<std::size_t>(table)), std::nullopt);
    if (ended.failure)
        m_watchers.apply_failure(table, *ended.failure, m_now, m_random());
    else
        (void)m_watchers.apply_page(table, ended.rows, ended.version, false, m_now);
}

void store_simulation::record_received()
{
    for (std::size_t change = 0; change < m_change_versions.size(); ++change) {
        if (!m_received_at[change]
            && m_watchers.of(m_changes[change].table).changed_version() >= m_change_versions[change])
            m_received_at[change] = m_now;
    }
}

std::optional<milliseconds> store_simulation::time_to_receive(std::size_t change) const
{
    auto const received_at = m_received_at.at(change);
    if (!received_at)
        return std::nullopt;
    auto from = m_changes[change].at;
    // No router can receive the change during an outage, so the time counts from the end of the last outage before it.
    for (auto const& outage : m_outages) {
        if (outage.from <= *received_at && outage.until > from)
            from = outage.until;
    }
    return std::max(*received_at - from, milliseconds(0));
}

store_fault store_simulation::fault_at(instant time) const
{
    for (auto const& outage : m_outages) {
        if (time >= outage.from && time < outage.until)
            return outage.fault;
    }
    return store_fault::none;
}

std::vector<table_watcher::changed_row> store_simulation::rows_since(table_name table, std::uint64_t since) const
{
    std::vector<table_watcher::changed_row> rows;
    for (auto const& [key, version] : m_rows.at(static_cast<std::size_t>(table))) {
        if (version > since)
            rows.push_back({ key, std::to_string(version), version });
    }
    return rows;
}

} // namespace shedhill::dispatch
