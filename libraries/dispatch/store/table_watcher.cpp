// SPDX-License-Identifier: BSD-2-Clause
// Implements the calls to the store and the exchange of rows between routers.
#include "libraries/dispatch/store/table_watcher.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// The delay before a read with stale results is repeated.
constexpr milliseconds out_of_date_pause { 300 };
// Bounds the recently removed rows for reports to other routers. It exceeds the number of rows removed in a minute
// while 3,000 endpoints are replaced.
constexpr std::size_t max_removed_rows = 1024;
// The store counts as recovered from an outage if it failed and confirmed no rows for at least this time.
constexpr milliseconds min_outage { 1000 };

} // namespace

void table_watcher::set_options(watch_options options)
{
    if (options.min_interval < m_options.min_interval)
        m_next_at = std::min(m_next_at, m_called_at + options.min_interval);
    m_options = options;
}

table_watcher::next_call table_watcher::take_next(instant now, call_terms const& terms)
{
    if (m_is_calling || (terms.when == call_terms::urgency::paced && now < m_next_at))
        return {};
    m_is_calling = true;
    m_is_call_of_read = m_needs_read;
    m_call_kind = m_needs_read && !m_has_all_pages ? call_kind::read : call_kind::watch;
    m_called_at = now;
    m_next_at = now + m_options.min_interval;
    if (m_needs_read)
        return make_read_call();
    return { m_call_kind, {}, m_version, std::min(m_options.wait, terms.max_wait) };
}

table_watcher::next_call table_watcher::make_read_call() const
{
    next_call call { m_call_kind, {}, m_read_version, milliseconds(0), true };
    if (m_call_kind == call_kind::read && !m_read_rows.empty())
        call.after_key = m_read_rows.rbegin()->first;
    return call;
}

table_watcher::page_outcome table_watcher::apply_page(
    std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now)
{
    m_is_calling = false;
    record_answer(now);
    if (m_is_call_of_read)
        return apply_answer_of_read(rows, version, has_more, now);
    if (version < m_version)
        return page_outcome::out_of_date;
    m_confirmed_at = now;
    m_version = version;
    bool is_changed = false;
    for (auto const& changed : rows) {
        if (auto const* current = m_rows.find(changed.key); current && current->version >= changed.version)
            continue;
        is_changed = true;
        m_changed_version = std::max(m_changed_version, changed.version);
        if (changed.is_removed)
            record_removal({ changed.key, changed.version });
        else
            m_rows.put(changed.key, { changed.value, changed.version });
    }
    return is_changed ? page_outcome::changed : page_outcome::nothing_new;
}

void table_watcher::record_answer(instant now)
{
    if (is_failing() && now - m_confirmed_at >= min_outage)
        m_recovered_at = now;
    m_is_failing = false;
}

table_watcher::page_outcome table_watcher::apply_answer_of_read(
    std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now)
{
    // A report of another router has made the read unnecessary.
    if (!m_needs_read)
        return page_outcome::nothing_new;
    return m_has_all_pages ? apply_changes_of_read(rows, version, now) : apply_read_page(rows, version, has_more, now);
}

table_watcher::page_outcome table_watcher::apply_read_page(
    std::vector<changed_row> const& rows, std::uint64_t version, bool has_more, instant now)
{
    for (auto const& read : rows)
        m_read_rows[read.key] = { read.value, read.version };
    if (m_read_version == 0)
        m_read_version = version;
    if (!has_more && version == m_read_version)
        return finish_read(version, now);
    m_has_all_pages = !has_more;
    m_next_at = now;
    return page_outcome::nothing_new;
}

table_watcher::page_outcome table_watcher::apply_changes_of_read(
    std::vector<changed_row> const& rows, std::uint64_t version, instant now)
{
    for (auto const& changed : rows) {
        if (changed.is_removed)
            m_read_rows.erase(changed.key);
        else
            m_read_rows[changed.key] = { changed.value, changed.version };
    }
    return finish_read(version, now);
}

table_watcher::page_outcome table_watcher::finish_read(std::uint64_t version, instant now)
{
    auto read = std::exchange(m_read_rows, {});
    forget_read();
    if (version < m_version) {
        m_next_at = now + out_of_date_pause;
        return page_outcome::out_of_date;
    }
    m_needs_read = false;
    m_confirmed_at = now;
    m_version = version;
    // A read does not show when a row was removed, so any version up to that of the read may be the newest change.
    m_changed_version = version;
    return replace_rows(table_rows(std::move(read)));
}

void table_watcher::forget_read()
{
    m_read_rows.clear();
    m_read_version = 0;
    m_has_all_pages = false;
}

table_watcher::page_outcome table_watcher::replace_rows(table_rows rows)
{
    bool const is_changed = !m_has_rows || rows.digest() != m_rows.digest();
    auto const before = std::exchange(m_rows, std::move(rows));
    m_has_rows = true;
    for (auto const& [key, row] : before.all()) {
        if (!m_rows.find(key))
            record_removal({ key, m_changed_version });
    }
    return is_changed ? page_outcome::changed : page_outcome::nothing_new;
}

void table_watcher::apply_failure(failure reason, instant now)
{
    end_call();
    if (reason != failure::history_gone) {
        m_is_failing = true;
        return;
    }
    m_needs_read = true;
    m_next_at = now;
}

void table_watcher::read_again(instant at)
{
    if (std::exchange(m_needs_read, true))
        return;
    m_next_at = at;
}

void table_watcher::end_abandoned_call() { end_call(); }

void table_watcher::end_call()
{
    m_is_calling = false;
    forget_read();
}

void table_watcher::record_removal(removed_row removed)
{
    m_rows.remove(removed.key);
    m_changed_version = std::max(m_changed_version, removed.version);
    m_removed_rows.push_back(std::move(removed));
    if (m_removed_rows.size() > max_removed_rows)
        m_removed_rows.pop_front();
}

table_watcher::reported_rows table_watcher::rows_since(std::uint64_t version) const
{
    reported_rows reported { std::nullopt, {}, {}, m_rows.keys_hash(), m_version, m_changed_version };
    if (version == 0) {
        reported.rows = m_rows.all();
        return reported;
    }
    reported.since = version;
    for (auto const& [key, current] : m_rows.all()) {
        if (current.version > version)
            reported.rows.emplace(key, current);
    }
    for (auto const& removed : m_removed_rows) {
        if (removed.version > version && !m_rows.find(removed.key))
            reported.removed.push_back(removed);
    }
    return reported;
}

bool table_watcher::is_complete(reported_rows const& reported) const
{
    if (!m_has_rows || *reported.since > m_version)
        return false;
    auto keys_hash = m_rows.keys_hash();
    for (auto const& [key, row] : reported.rows) {
        if (!m_rows.find(key))
            keys_hash += table_rows::hash_of_key(key);
    }
    for (auto const& removed : reported.removed) {
        if (auto const* current = m_rows.find(removed.key); current && current->version < removed.version)
            keys_hash -= table_rows::hash_of_key(removed.key);
    }
    return keys_hash == reported.keys_hash;
}

table_watcher::page_outcome table_watcher::apply_changes(reported_rows reported)
{
    auto const digest_before = m_rows.digest();
    for (auto const& [key, row] : reported.rows) {
        if (auto const* current = m_rows.find(key); !current || current->version < row.version)
            m_rows.put(key, row);
    }
    for (auto& removed : reported.removed) {
        if (auto const* current = m_rows.find(removed.key); !current || current->version < removed.version)
            record_removal(std::move(removed));
    }
    return m_rows.digest() == digest_before ? page_outcome::nothing_new : page_outcome::changed;
}

bool table_watcher::has_same_rows(std::uint64_t version, std::optional<std::uint64_t> digest) const
{
    return digest ? m_has_rows && *digest == m_rows.digest() : version == m_changed_version;
}

void table_watcher::confirm_same_rows(std::uint64_t version)
{
    m_version = std::max(m_version, version);
    m_changed_version = std::max(m_changed_version, version);
}

table_watcher::page_outcome table_watcher::apply_reported(reported_rows reported)
{
    if (reported.version <= m_version)
        return page_outcome::out_of_date;
    m_needs_all_rows = reported.since && !is_complete(reported);
    if (m_needs_all_rows)
        return page_outcome::out_of_date;
    m_version = reported.version;
    m_changed_version = std::max(m_changed_version, std::min(reported.changed_version, m_version));
    // A full read is no longer needed; polling continues from the reported version.
    m_needs_read = false;
    forget_read();
    if (reported.since)
        return apply_changes(std::move(reported));
    return replace_rows(table_rows(std::move(reported.rows)));
}

} // namespace shedhill::dispatch
