// SPDX-License-Identifier: BSD-2-Clause
// Handles requests whose attempts break off because their endpoints crash.
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedhill::dispatch {

request_identity dispatch_reducer::identity_of(active_request const& request)
{
    return { request.account, request.content.value_or(content_hash()) };
}

suspicion dispatch_reducer::suspicion_of(active_request const& request, step_context const& step) const
{
    if (m_suspects.is_empty() || !request.content)
        return suspicion::none;
    return m_suspects.suspicion_of(identity_of(request), step.now);
}

std::uint64_t dispatch_reducer::suspect_key_of(active_request const& request) const
{
    constexpr std::uint8_t crashes_to_spread = 2;
    if (m_suspects.is_empty() || !request.content)
        return 0;
    return m_suspects.stamp_of(identity_of(request)).crashes < crashes_to_spread ? 0 : request.content->value();
}

void dispatch_reducer::begin_trial(active_request& request, step_context const& step)
{
    request.stamp = {};
    if (m_suspects.is_empty() || !request.content)
        return;
    request.stamp = m_suspects.stamp_of(identity_of(request));
    request.is_trial = m_suspects.begin_trial(identity_of(request), step.now);
}

void dispatch_reducer::update_domain_ranks()
{
    std::set<failure_domain> others;
    for (auto const& [source, peer] : m_peers) {
        if (peer.domain != m_options.domain && !peer.domain.value().empty())
            others.insert(peer.domain);
    }
    m_suspects.set_domains(m_options.domain, { others.begin(), others.end() });
}

void dispatch_reducer::end_trial(active_request& request)
{
    if (std::exchange(request.is_trial, false))
        m_suspects.end_trial(identity_of(request));
}

std::optional<broken_endpoint> dispatch_reducer::endpoint_to_probe(active_request const& request)
{
    auto const* const endpoint = m_board.find(request.instance);
    // An endpoint that drains or leaves may abort unfinished requests without a crash.
    if (!request.content || endpoint == nullptr || endpoint->entry.is_draining || endpoint->announced.is_leaving)
        return std::nullopt;
    return broken_endpoint { request.endpoint, request.instance, endpoint->entry.address };
}

void dispatch_reducer::record_broken_attempt(active_request const& request, step_context const& step)
{
    if (auto const endpoint = endpoint_to_probe(request))
        m_suspects.record_broken_attempt(*endpoint, { identity_of(request), request.stamp, step.now, request.sent_at });
}

void dispatch_reducer::record_closed_attempt(active_request const& request, step_context const& step)
{
    if (auto const endpoint = endpoint_to_probe(request))
        m_suspects.record_closed_attempt(
            *endpoint, { identity_of(request), request.stamp, step.now, request.sent_at, true });
}

void dispatch_reducer::record_answer(active_request const& request, step_context& step)
{
    if (m_suspects.is_empty() || !request.content || !m_suspects.record_answer(identity_of(request), step.now))
        return;
    step.effects.emplace_back(log_line { severity::debug, "suspect_cleared",
        log_fields().add("id", request.caller_id).add("content", request.content->value()).take() });
}

bool dispatch_reducer::has_outlived(endpoint_key instance, instant then) const
{
    return std::ranges::any_of(m_requests, [&](auto const& entry) {
        auto const& request = entry.second;
        return request.state == phase::running && request.instance == instance && request.sent_at < then;
    });
}

void dispatch_reducer::probe_broken_endpoints(step_context& step)
{
    for (auto& due : m_suspects.take_due_probes(step.now)) {
        if (has_outlived(due.endpoint.instance, due.broken_at))
            handle(endpoint_probed { due.endpoint.instance, probe_outcome::accepted }, step);
        else
            step.effects.emplace_back(probe_endpoint { due.endpoint.instance, std::move(due.endpoint.address) });
    }
}

void dispatch_reducer::handle(endpoint_probed const& probed, step_context& step)
{
    auto const resolved = m_suspects.apply_probe(probed.instance, probed.outcome, step.now);
    for (auto const& cleared : resolved.cleared)
        step.effects.emplace_back(log_line { severity::debug, "suspect_cleared",
            log_fields().add("endpoint", resolved.endpoint.value()).add("content", cleared.content.value()).take() });
    for (auto const& crash : resolved.crashes) {
        step.effects.emplace_back(count_event { counter_kind::crashes, {} });
        step.effects.emplace_back(log_line { severity::debug, "request_crashed_endpoint",
            log_fields()
                .add("endpoint", resolved.endpoint.value())
                .add("content", crash.request.content.value())
                .add("crashes", crash.crashes)
                .take() });
        if (crash.is_quarantined)
            quarantine(crash.request, m_options.vm.value(), step);
    }
    serve_waiting_throttled(step);
}

void dispatch_reducer::handle(quarantines_loaded const& loaded, step_context& step)
{
    for (auto const& record : loaded.records) {
        if (m_suspects.restore(record, step.now))
            quarantine(record.request, "store", step);
    }
}

void dispatch_reducer::apply_crash_records(peer_report const& report, step_context& step)
{
    auto const origin = origin_of(report);
    for (auto const& record : report.crashes) {
        if (m_suspects.merge(record, origin, step.now))
            quarantine(record.request, report.peer.value(), step);
    }
}

void dispatch_reducer::quarantine(request_identity const& request, std::string_view source, step_context& step)
{
    step.effects.emplace_back(log_line { severity::warning, "request_quarantined",
        log_fields()
            .add("content", request.content.value())
            .add("crashes", m_suspects.crashes_of(request))
            .add("left_ms", m_suspects.quarantine_left(request, step.now).count())
            .add("source", source)
            .take() });
    auto const waiting = m_waiting;
    for (auto const number : waiting) {
        auto& waiting_request = m_requests.at(number);
        if (waiting_request.content && identity_of(waiting_request) == request)
            end_wait(number, waiting_request, step);
    }
}

} // namespace shedhill::dispatch
