// SPDX-License-Identifier: BSD-2-Clause
// Polls the head row, reads missing changes, and reads the snapshot if too many changes are missing.
#include "libraries/router/config_synchronizer.h"

#include <algorithm>

namespace shedhill::router {

namespace {

// A router that is more revisions behind than this reads the snapshot before the changes.
constexpr std::uint64_t max_changes_behind = 256;
// A read that is not answered within this time counts as lost.
constexpr milliseconds read_timeout { 5000 };

bool touches_endpoints(config::change const& change)
{
    return std::ranges::any_of(change.puts, [](config::object const& put) {
        return std::holds_alternative<config::endpoint>(put);
    }) || std::ranges::any_of(change.removals, [](std::string const& key) { return key.starts_with("endpoint:"); });
}

} // namespace

void config_synchronizer::tick(step_context& step)
{
    auto const is_timed_out = m_is_reading && step.now() - m_read_at > read_timeout;
    if (m_is_reading && !is_timed_out)
        return;
    auto const is_first = m_read_at == instant();
    if (is_first || m_is_head_due || is_timed_out || step.now() - m_read_at >= m_settings.head_interval)
        read_head_now(step);
}

void config_synchronizer::record_seen_revision(revision seen, step_context& step)
{
    if (seen <= m_catalog.current_revision())
        return;
    m_is_head_due = true;
    tick(step);
}

sync_result config_synchronizer::apply(head_read const& read, step_context& step)
{
    m_is_reading = false;
    m_head = std::max(m_head, read.revision);
    if (m_head <= m_catalog.current_revision()) {
        m_has_revision = true;
        return sync_result::unchanged;
    }
    read_missing(step);
    return sync_result::unchanged;
}

sync_result config_synchronizer::apply(changes_read const& read, step_context& step)
{
    m_is_reading = false;
    auto result = sync_result::unchanged;
    for (auto const& [number, change] : read.changes) {
        // A refused change is applied as an empty one: without its revision the next change could not be applied.
        auto const is_own = config::check_ownership(change).has_value();
        if (!m_catalog.apply(number, is_own ? change : config::change { change.id, change.author, {}, {} }))
            continue;
        if (!is_own) {
            step.count(counter::changes_refused);
            step.emit(
                log_line { "configuration change " + change.id + " refused: it changes objects of another partner" });
        }
        if (touches_endpoints(change))
            result = sync_result::advanced_endpoints;
        else if (result == sync_result::unchanged)
            result = sync_result::advanced;
        step.count(counter::changes_applied);
    }
    if (m_catalog.current_revision() >= m_head)
        m_has_revision = true;
    else if (result != sync_result::unchanged)
        read_missing(step);
    return result;
}

sync_result config_synchronizer::apply_snapshot(std::string const& snapshot, step_context& step)
{
    m_is_reading = false;
    auto const loaded = m_catalog.load_snapshot(snapshot);
    if (!loaded) {
        step.emit(log_line { "snapshot refused: " + loaded.error().to_string() });
        step.count(counter::changes_refused);
    }
    if (m_catalog.current_revision() < m_head) {
        m_is_reading = true;
        m_read_at = step.now();
        step.emit(read_changes { m_catalog.current_revision() });
    } else if (m_catalog.current_revision() > revision()) {
        m_has_revision = true;
    }
    return loaded.value_or(false) ? sync_result::advanced_endpoints : sync_result::unchanged;
}

void config_synchronizer::read_head_now(step_context& step)
{
    m_is_reading = true;
    m_is_head_due = false;
    m_read_at = step.now();
    step.emit(read_head {});
}

void config_synchronizer::read_missing(step_context& step)
{
    m_is_reading = true;
    m_read_at = step.now();
    if (m_head.value() - m_catalog.current_revision().value() > max_changes_behind)
        step.emit(read_snapshot {});
    else
        step.emit(read_changes { m_catalog.current_revision() });
}

} // namespace shedhill::router
