// SPDX-License-Identifier: BSD-2-Clause
// Handles requests that resume a stream: which software version began it, and which other routers need to know.
#include "base/hash.h"
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedhill::dispatch {

namespace {

// A stream and the caller's next request last up to the route's time limit each.
constexpr std::int64_t stream_lifetime_limits = 2;
// Ticks come every few milliseconds. After a longer pause the process may read what has arrived in the meantime.
constexpr milliseconds max_tick_pause { 250 };
// The time that a router without recent list needs to hear of a newer one and to receive it: two report intervals of
// 100 ms, and a call.
constexpr milliseconds max_list_wait { 250 };
// Within this time the reports arrive that routers sent at the latest when the caller returned: the longest interval
// between two reports, and their way.
constexpr milliseconds max_report_delay { 150 };
// The records that a router receives from all other failure domains in one report interval of 100 ms: 6 kB a second,
// while several versions serve. Streams beyond that are known in the failure domain where they began.
constexpr std::size_t max_domain_streams = 40;
// Within this time after its start a router has read the stored records of streams, unless the store does not answer.
constexpr milliseconds max_restoring_time { 1000 };
constexpr std::uint16_t status_unavailable = 503;

} // namespace

void dispatch_reducer::handle(versions_restored const& restored, step_context& step)
{
    m_versions.restore(restored.history, step.now);
    step.effects.emplace_back(log_line { severity::debug, "versions_restored",
        log_fields()
            .add("versions", restored.history.versions.size())
            .add("complete", restored.history.is_complete ? 1 : 0)
            .take() });
}

void dispatch_reducer::handle(streams_restored const& restored, step_context& step)
{
    m_has_restored_streams = true;
    for (auto const& record : restored.streams)
        m_streams.record(record.stream, record.software, step.now + m_versions.stream_lifetime());
    step.effects.emplace_back(log_line { severity::info, "streams_restored",
        log_fields()
            .add("streams", restored.streams.size())
            .add("awaited", m_awaited_versions.size())
            .add("after_ms", m_started_at == instant {} ? 0 : (step.now - m_started_at).count())
            .take() });
    admit_awaited_resumptions(step);
}

bool dispatch_reducer::awaits_stored_streams(instant now)
{
    if (m_started_at == instant {})
        m_started_at = now;
    return m_options.restores_streams && !m_has_restored_streams && now - m_started_at < max_restoring_time;
}

stream_key dispatch_reducer::stream_of(active_request const& request)
{
    return key_of_stream(request.account, request.resumption ? request.resumption->first_request : request.caller_id);
}

void dispatch_reducer::admit_resumption(
    request_number number, active_request request, route const& served_by, step_context& step)
{
    bool const is_known = m_streams.find(stream_of(request), step.now) || only_version_of(served_by, step.now);
    bool const is_awaited = other_routers() > 0 || awaits_stored_streams(step.now);
    if (!is_known && is_awaited) {
        auto const until = other_routers() > 0 ? step.now + max_report_delay : step.now;
        m_awaited_versions.insert_or_assign(number, awaited_version { served_by, until });
        m_requests.insert_or_assign(number, std::move(request));
        return;
    }
    auto const reason = bind_to_version(request, served_by, step);
    if (reason == refusal_reason::none)
        return admit(number, std::move(request), step);
    auto& stored = m_requests.insert_or_assign(number, std::move(request)).first->second;
    refuse(number, stored, status_unavailable, reason, step);
}

void dispatch_reducer::admit_awaited_resumptions(step_context& step)
{
    for (auto next = m_awaited_versions.begin(); next != m_awaited_versions.end();) {
        auto const number = next->first;
        auto const found = m_requests.find(number);
        if (found == m_requests.end()) {
            next = m_awaited_versions.erase(next);
            continue;
        }
        auto& request = found->second;
        bool const is_over = step.now >= next->second.until && !awaits_stored_streams(step.now);
        if (!is_over && !m_streams.find(stream_of(request), step.now)) {
            ++next;
            continue;
        }
        auto const served_by = std::move(next->second.served_by);
        next = m_awaited_versions.erase(next);
        auto const reason = bind_to_version(request, served_by, step);
        if (reason == refusal_reason::none)
            admit(number, std::move(request), step);
        else
            refuse(number, request, status_unavailable, reason, step);
    }
}

refusal_reason dispatch_reducer::bind_to_version(active_request& request, route const& served_by, step_context& step)
{
    auto version = m_streams.find(stream_of(request), step.now);
    request.precedes_others = m_streams.take_precedence(stream_of(request));
    std::string_view source = "recorded";
    if (!version) {
        version = only_version_of(served_by, step.now);
        source = version ? "only_version" : "unknown";
    }
    step.effects.emplace_back(count_event { counter_kind::resumptions, source });
    if (!version)
        return refusal_reason::unknown_version;
    request.constraints.software = version;
    for (auto const& candidate : served_by.pools) {
        if (!m_board.has_endpoints(candidate.pool, request.constraints))
            continue;
        request.pool = candidate.pool;
        return refusal_reason::none;
    }
    return reason_for_no_endpoint(request, step);
}

std::optional<software_key> dispatch_reducer::only_version_of(route const& served_by, instant now) const
{
    if (!has_recent_list(now) || !m_versions.is_complete(now))
        return std::nullopt;
    std::vector<software_key> possible;
    for (auto const& candidate : served_by.pools)
        m_versions.append_possible(candidate.pool, possible, now);
    for (auto const& former : m_pool_changes.former_pools_of(served_by, now))
        m_versions.append_possible(former, possible, now);
    if (possible.empty() || std::ranges::any_of(possible, [&](software_key key) { return key != possible.front(); }))
        return std::nullopt;
    return possible.front();
}

bool dispatch_reducer::has_recent_list(instant now) const
{
    return now - m_list_confirmed_at <= m_versions.staleness_bound() && now - m_ticked_at <= max_tick_pause
        && now >= m_paused_until;
}

bool dispatch_reducer::has_paused(instant now) const
{
    return m_ticked_at != instant {} && now - m_ticked_at > max_tick_pause;
}

bool dispatch_reducer::awaits_list(instant now) const
{
    bool const is_after_pause = (has_paused(now) && m_may_await_list) || now < m_awaits_list_until;
    return is_after_pause && now - m_list_confirmed_at > m_versions.staleness_bound() / 2;
}

void dispatch_reducer::record_list_age(milliseconds age, instant now)
{
    if (has_paused(now)) {
        m_paused_until = now + m_versions.staleness_bound();
        if (std::exchange(m_may_await_list, false))
            m_awaits_list_until = now + max_list_wait;
    }
    m_may_await_list |= age <= m_versions.staleness_bound() / 2;
    m_ticked_at = now;
    m_list_confirmed_at = now - age;
}

void dispatch_reducer::record_stream(active_request& request, instant now)
{
    if (request.retry != retry_mode::resumable || request.is_recorded || !request.constraints.software)
        return;
    bool const can_all_tell = !request.is_split && m_pool_changes.is_empty() && m_versions.is_complete(now)
        && m_versions.has_one_version(request.pool);
    if (can_all_tell)
        return;
    request.is_recorded = true;
    auto const stream = stream_of(request);
    auto const lifetime = m_versions.stream_lifetime();
    if (!m_streams.record(stream, *request.constraints.software, now + lifetime))
        return;
    m_unreported_streams.push_back({ stream, *request.constraints.software, lifetime });
    report_to_domains(m_unreported_streams.back(), now);
}

void dispatch_reducer::report_to_domains(stream_record const& record, instant now)
{
    if (now - m_domain_reported_at < max_domain_report_gap)
        m_unreported_domain_streams.push_back(record);
}

std::vector<stream_record> dispatch_reducer::take_domain_streams()
{
    std::set<failure_domain> others;
    for (auto const& [source, peer] : m_peers) {
        if (peer.domain != m_options.domain)
            others.insert(peer.domain);
    }
    auto streams = std::exchange(m_unreported_domain_streams, {});
    auto const count = max_domain_streams / std::max<std::size_t>(others.size(), 1);
    if (streams.size() > count)
        streams.erase(streams.begin(), streams.end() - static_cast<std::ptrdiff_t>(count));
    return streams;
}

void dispatch_reducer::record_running_streams(instant now)
{
    for (auto& [number, request] : m_requests) {
        if (request.has_answer_begun)
            record_stream(request, now);
    }
}

void dispatch_reducer::apply_stream_records(peer_report const& report, instant now)
{
    bool const is_own_domain = origin_of(report) == report_origin::own_domain;
    for (auto const& record : report.streams) {
        if (m_streams.record(record.stream, record.software, now + record.left) && is_own_domain)
            report_to_domains(record, now);
    }
    m_versions.merge(report.versions, report.versions_observed, now);
}

void dispatch_reducer::add_stream_history(peer_report& report, std::size_t max_streams, instant now) const
{
    report.streams = m_streams.newest(max_streams, now);
    // A route that was moved to other pools makes the versions of its pools alone misleading.
    if (!m_pool_changes.is_empty())
        return;
    report.versions = m_versions.sightings(now);
    report.versions_observed = m_versions.observed(now);
}

void dispatch_reducer::update_stream_lifetime()
{
    auto longest = m_options.default_deadline;
    for (auto const& declared : m_routes.current().routes) {
        if (declared.retry == retry_mode::resumable)
            longest = std::max(longest, declared.time_limit);
    }
    m_versions.set_stream_lifetime(longest * stream_lifetime_limits);
}

} // namespace shedhill::dispatch
