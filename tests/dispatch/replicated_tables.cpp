// SPDX-License-Identifier: BSD-2-Clause
// Implements the store with the history of each key, and the exchange of announcements and reports.
#include "tests/dispatch/replicated_tables.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

replicated_tables::replicated_tables(std::size_t watching_routers, std::size_t other_routers, std::size_t page_rows)
    : m_watching_routers(watching_routers)
    , m_page_rows(page_rows)
    , m_routers(watching_routers + other_routers)
{
}

void replicated_tables::put(std::string const& key) { m_changes[key].push_back({ ++m_version, false }); }

void replicated_tables::remove(std::string const& key)
{
    if (auto& changes = m_changes[key]; !changes.empty() && !changes.back().is_removal)
        changes.push_back({ ++m_version, true });
}

void replicated_tables::call_store(std::size_t router)
{
    auto& state = m_routers.at(router);
    if (state.in_flight || (!is_watching(router) && state.watcher.has_rows()))
        return;
    auto const call = state.watcher.take_next(now(), { milliseconds(0), call_terms::urgency::at_once });
    if (call.kind == table_watcher::call_kind::read)
        state.in_flight = read_page(call.after_key);
    else if (call.kind == table_watcher::call_kind::watch)
        state.in_flight = changes_since(call.since);
}

void replicated_tables::deliver_answer(std::size_t router)
{
    auto& state = m_routers.at(router);
    auto const answered = std::exchange(state.in_flight, std::nullopt);
    if (!answered)
        return;
    if (answered->is_history_gone)
        state.watcher.apply_failure(table_watcher::failure::history_gone, now());
    else
        (void)state.watcher.apply_page(answered->rows, answered->version, answered->has_more, now());
}

bool replicated_tables::announce(std::size_t from, std::size_t to)
{
    auto const& sender = m_routers.at(from).watcher;
    auto& receiver = m_routers.at(to).watcher;
    if (from == to)
        return false;
    if (receiver.has_same_rows(sender.changed_version(), sender.digest()))
        receiver.confirm_same_rows(sender.changed_version());
    if (sender.changed_version() <= receiver.changed_version())
        return false;
    auto reported = sender.rows_since(receiver.changes_wanted_since());
    ++m_reports;
    m_reported_rows += reported.rows.size() + reported.removed.size();
    auto const wanted_since = receiver.changes_wanted_since();
    auto const version = receiver.version();
    return receiver.apply_reported(std::move(reported)) == table_watcher::page_outcome::changed
        || receiver.version() != version || receiver.changes_wanted_since() != wanted_since;
}

void replicated_tables::restart(std::size_t router) { m_routers.at(router) = router_state {}; }

void replicated_tables::settle()
{
    // A read takes a call for each page, and another read may be needed after it.
    auto const calls = 2 * (m_changes.size() / m_page_rows + 2);
    for (std::size_t router = 0; router < size(); ++router) {
        for (std::size_t call = 0; call < calls; ++call) {
            deliver_answer(router);
            call_store(router);
        }
        deliver_answer(router);
    }
    bool is_changed = true;
    while (is_changed) {
        is_changed = false;
        for (std::size_t from = 0; from < size(); ++from) {
            for (std::size_t to = 0; to < size(); ++to)
                is_changed |= announce(from, to);
        }
    }
}

std::string replicated_tables::find_fault(std::size_t router) const
{
    auto const& watcher = m_routers.at(router).watcher;
    if (watcher.changed_version() > watcher.version())
        return "the announced version exceeds the version " + std::to_string(watcher.version());
    if (!watcher.has_rows())
        return {};
    // The table has had these rows from the announced version on.
    for (auto const version : { watcher.changed_version(), watcher.version() }) {
        for (auto const& [key, changes] : m_changes) {
            change expected {};
            for (auto const& one : changes) {
                if (one.version <= version)
                    expected = one;
            }
            auto const row = watcher.rows().find(key);
            auto const held = row == watcher.rows().end() ? 0 : row->second.version;
            if (held != (expected.is_removal ? 0 : expected.version))
                return "key " + key + " has version " + std::to_string(held) + " instead of "
                    + std::to_string(expected.version) + " at the version " + std::to_string(version);
        }
    }
    return {};
}

std::string replicated_tables::find_difference(std::size_t router) const
{
    auto const& rows = m_routers.at(router).watcher.rows();
    for (auto const& [key, changes] : m_changes) {
        auto const row = rows.find(key);
        auto const held = row == rows.end() ? 0 : row->second.version;
        bool const is_listed = !changes.empty() && !changes.back().is_removal;
        if (auto const expected = is_listed ? changes.back().version : 0; held != expected)
            return "key " + key + " has version " + std::to_string(held) + " instead of " + std::to_string(expected);
    }
    return {};
}

replicated_tables::answer replicated_tables::read_page(std::string const& after_key) const
{
    answer page;
    page.version = m_version;
    for (auto const& [key, changes] : m_changes) {
        if (key <= after_key || changes.empty() || changes.back().is_removal)
            continue;
        if (page.rows.size() == m_page_rows) {
            page.has_more = true;
            break;
        }
        page.rows.push_back({ key, std::to_string(changes.back().version), changes.back().version, false });
    }
    return page;
}

replicated_tables::answer replicated_tables::changes_since(std::uint64_t version) const
{
    answer page;
    page.version = m_version;
    page.is_history_gone = version < m_history_since;
    for (auto const& [key, changes] : m_changes) {
        if (changes.empty() || changes.back().version <= version)
            continue;
        auto const& last = changes.back();
        page.rows.push_back({ key, std::to_string(last.version), last.version, last.is_removal });
    }
    std::ranges::sort(page.rows, {}, &table_watcher::changed_row::version);
    return page;
}

} // namespace shedhill::dispatch
