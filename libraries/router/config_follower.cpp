// SPDX-License-Identifier: BSD-2-Clause
// Polling, catching up, and snapshots for a router that is far behind.
#include "libraries/router/config_follower.h"

#include <algorithm>

namespace shedhill::router {

namespace {

// Further behind than this, a router reads the snapshot first.
constexpr std::uint64_t most_changes_behind = 256;
// A read that is not answered in this time is taken for lost.
constexpr milliseconds read_limit { 5000 };

bool touches_endpoints(config::change const& made)
{
    return std::ranges::any_of(made.puts, [](config::object const& put) {
        return std::holds_alternative<config::endpoint>(put);
    }) || std::ranges::any_of(made.removals, [](std::string const& key) { return key.starts_with("endpoint:"); });
}

} // namespace

void config_follower::tick(step_context& step)
{
    auto const is_lost = m_is_reading && step.now() - m_read_at > read_limit;
    if (m_is_reading && !is_lost)
        return;
    auto const is_first = m_read_at == instant();
    if (is_first || m_is_head_due || is_lost || step.now() - m_read_at >= m_settings.head_interval)
        read_head_now(step);
}

void config_follower::note_seen(revision seen, step_context& step)
{
    if (seen <= m_catalog.current_revision())
        return;
    m_is_head_due = true;
    tick(step);
}

follow_result config_follower::take(head_read const& read, step_context& step)
{
    m_is_reading = false;
    m_head = std::max(m_head, read.revision);
    if (m_head <= m_catalog.current_revision()) {
        m_has_revision = true;
        return follow_result::unchanged;
    }
    read_missing(step);
    return follow_result::unchanged;
}

follow_result config_follower::take(changes_read const& read, step_context& step)
{
    m_is_reading = false;
    auto result = follow_result::unchanged;
    for (auto const& [number, change] : read.changes) {
        // The revision counts in any case, or the next change could never follow.
        auto const is_own = config::check_ownership(change).has_value();
        if (!m_catalog.apply(number, is_own ? change : config::change { change.id, change.author, {}, {} }))
            continue;
        if (!is_own) {
            step.count(counter::changes_refused);
            step.emit(log_line { "change " + change.id + " touches another partner's objects and has no effect" });
        }
        if (touches_endpoints(change))
            result = follow_result::advanced_endpoints;
        else if (result == follow_result::unchanged)
            result = follow_result::advanced;
        step.count(counter::changes_applied);
    }
    if (m_catalog.current_revision() >= m_head)
        m_has_revision = true;
    else if (result != follow_result::unchanged)
        read_missing(step);
    return result;
}

follow_result config_follower::take_snapshot(std::string const& snapshot, step_context& step)
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
    return loaded.value_or(false) ? follow_result::advanced_endpoints : follow_result::unchanged;
}

void config_follower::read_head_now(step_context& step)
{
    m_is_reading = true;
    m_is_head_due = false;
    m_read_at = step.now();
    step.emit(read_head {});
}

void config_follower::read_missing(step_context& step)
{
    m_is_reading = true;
    m_read_at = step.now();
    if (m_head.value() - m_catalog.current_revision().value() > most_changes_behind)
        step.emit(read_snapshot {});
    else
        step.emit(read_changes { m_catalog.current_revision() });
}

} // namespace shedhill::router
