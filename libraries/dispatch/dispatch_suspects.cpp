// SPDX-License-Identifier: BSD-2-Clause
// Handles requests whose attempts break off because their endpoints crash.
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"
#include "libraries/dispatch/suspects/suspect_attributes.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shedhill::dispatch {

namespace {

// An answer this recent shows that the part did not crash an endpoint.
constexpr milliseconds recent_answer { 2000 };
// Parts that were answered within this time are blamed only if no other part of the prompt can be at fault.
constexpr milliseconds answer_memory { 600000 };
constexpr std::uint8_t crashes_to_spread = 2;
constexpr std::uint16_t first_status_not_success = 300;

} // namespace

request_identity dispatch_reducer::identity_of(active_request const& request)
{
    return { request.account, request.content.value_or(content_hash()) };
}

suspicion dispatch_reducer::suspicion_of(active_request const& request, step_context const& step) const
{
    auto greatest = suspicion::none;
    if (m_suspects.is_empty())
        return greatest;
    for_each_attribute(request.account, request.content, request.cost, [&](request_identity const& attribute) {
        greatest = std::max(greatest, m_suspects.suspicion_of(attribute, step.now));
    });
    return greatest;
}

dispatch_reducer::suspected_attribute dispatch_reducer::most_suspected(active_request const& request) const
{
    suspected_attribute most { identity_of(request), 0 };
    if (m_suspects.is_empty())
        return most;
    for_each_attribute(request.account, request.content, request.cost, [&](request_identity const& attribute) {
        if (auto const crashes = m_suspects.stamp_of(attribute).crashes; crashes > most.crashes)
            most = { attribute, crashes };
    });
    for (auto const& part : request.cost.parts) {
        if (identity_of_part(request.account, part.id) == most.identity)
            most.part = part.id;
    }
    return most;
}

bool dispatch_reducer::has_attribute(active_request const& request, request_identity const& identity) const
{
    bool is_found = false;
    for_each_attribute(request.account, request.content, request.cost,
        [&](request_identity const& attribute) { is_found |= attribute == identity; });
    return is_found;
}

milliseconds dispatch_reducer::quarantine_left(active_request const& request, instant now) const
{
    milliseconds longest { 0 };
    for_each_attribute(request.account, request.content, request.cost, [&](request_identity const& attribute) {
        longest = std::max(longest, m_suspects.quarantine_left(attribute, now));
    });
    return longest;
}

std::uint64_t dispatch_reducer::suspect_key_of(active_request const& request) const
{
    auto const most = most_suspected(request);
    return most.crashes < crashes_to_spread ? 0 : most.identity.content.value();
}

void dispatch_reducer::begin_trial(active_request& request, step_context const& step)
{
    request.suspected.clear();
    if (m_suspects.is_empty())
        return;
    for_each_attribute(request.account, request.content, request.cost, [&](request_identity const& attribute) {
        auto const stamp = m_suspects.stamp_of(attribute);
        bool const is_trial = m_suspects.begin_trial(attribute, step.now);
        if (is_trial || stamp != crash_stamp())
            request.suspected.push_back({ attribute, stamp, is_trial });
    });
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
    for (auto& attribute : request.suspected) {
        if (std::exchange(attribute.is_trial, false))
            m_suspects.end_trial(attribute.identity);
    }
}

std::optional<broken_endpoint> dispatch_reducer::endpoint_to_probe(active_request const& request)
{
    auto const* const endpoint = m_board.find(request.instance);
    // An endpoint that drains or leaves may abort unfinished requests without a crash.
    if (endpoint == nullptr || endpoint->entry.is_draining || endpoint->announced.is_leaving)
        return std::nullopt;
    return broken_endpoint { request.endpoint, request.instance, endpoint->entry.address };
}

std::vector<request_identity> dispatch_reducer::blamable_attributes(active_request const& request, instant now) const
{
    std::vector<request_identity> not_recently_answered;
    std::vector<request_identity> never_answered;
    for_each_shared_part(request.account, request.cost, [&](request_identity const& part) {
        if (!m_answered_parts.was_answered_since(part, now - recent_answer))
            not_recently_answered.push_back(part);
        if (!m_answered_parts.was_answered_since(part, now - answer_memory))
            never_answered.push_back(part);
    });
    auto blamable = never_answered.empty() ? std::move(not_recently_answered) : std::move(never_answered);
    if (request.content)
        blamable.push_back(identity_of(request));
    return blamable;
}

std::vector<broken_attempt> dispatch_reducer::evidence_of(active_request const& request, step_context const& step) const
{
    std::vector<broken_attempt> evidence;
    for (auto const& attribute : blamable_attributes(request, step.now)) {
        auto const sent = std::ranges::find(request.suspected, attribute, &sent_attribute::identity);
        auto const stamp = sent == request.suspected.end() ? crash_stamp() : sent->stamp;
        bool const is_part = !request.content || attribute != identity_of(request);
        evidence.push_back({ attribute, stamp, step.now, request.sent_at, false, is_part });
    }
    return evidence;
}

void dispatch_reducer::record_broken_attempt(active_request const& request, step_context const& step)
{
    auto const endpoint = endpoint_to_probe(request);
    if (!endpoint)
        return;
    for (auto const& broken : evidence_of(request, step))
        m_suspects.record_broken_attempt(*endpoint, broken);
}

void dispatch_reducer::record_closed_attempt(active_request const& request, step_context const& step)
{
    auto const endpoint = endpoint_to_probe(request);
    if (!endpoint)
        return;
    for (auto closed : evidence_of(request, step)) {
        closed.is_closed_answer = true;
        closed.is_presumed_harmless = true;
        m_suspects.record_broken_attempt(*endpoint, closed);
    }
}

void dispatch_reducer::clear_attribute(request_identity const& identity, std::string_view caller_id, step_context& step)
{
    if (m_suspects.is_empty() || !m_suspects.record_answer(identity, step.now))
        return;
    step.effects.emplace_back(log_line { severity::debug, "suspect_cleared",
        log_fields().add("id", caller_id).add("content", identity.content.value()).take() });
}

void dispatch_reducer::record_answer(active_request const& request, std::uint16_t status, step_context& step)
{
    if (request.content)
        clear_attribute(identity_of(request), request.caller_id, step);
    // An endpoint that rejects a request has written no answer on its prompt.
    if (status >= first_status_not_success)
        return;
    for_each_shared_part(request.account, request.cost, [&](request_identity const& part) {
        m_answered_parts.record(part, step.now);
        clear_attribute(part, request.caller_id, step);
    });
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
    for (auto const& answered : resolved.answered) {
        m_answered_parts.record(answered, step.now);
        clear_attribute(answered, {}, step);
    }
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
        bool const is_quarantined = m_suspects.merge(record, origin, step.now);
        // The reporting router may not know of an answer that this one has seen.
        auto const speaks_since
            = record.stamp.crashes < crashes_to_quarantine ? step.now - recent_answer : step.now - record.since_crash;
        if (record.stamp.crashes > 0 && m_answered_parts.was_answered_since(record.request, speaks_since))
            clear_attribute(record.request, {}, step);
        else if (is_quarantined)
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
        if (has_attribute(waiting_request, request))
            end_wait(number, waiting_request, step);
    }
}

} // namespace shedhill::dispatch
