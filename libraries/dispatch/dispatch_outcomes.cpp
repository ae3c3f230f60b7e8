// SPDX-License-Identifier: BSD-2-Clause
// Handles a request after it was sent: what the end of an attempt proves, whether the request may be retried, and the
// final answer.
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The number of attempts without any byte sent after which the request may still be sent again.
constexpr std::uint32_t max_failed_sends = 3;
constexpr double percent = 100;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;
constexpr std::uint16_t first_server_error = 500;

attempt_verdict verdict_of(attempt_ended const& ended)
{
    switch (ended.end) {
    case attempt_end::complete:
    case attempt_end::closed:
        return ended.status >= first_server_error ? attempt_verdict::failed : attempt_verdict::good;
    case attempt_end::not_run:
    case attempt_end::wrong_endpoint:
        return attempt_verdict::rejected;
    case attempt_end::not_sent:
    case attempt_end::failed:
    case attempt_end::broken:
    case attempt_end::silent:
        break;
    }
    return attempt_verdict::failed;
}

// Lists the shared parts of the prompt, that is all but the last, which belongs to the request or its session.
std::string shared_parts_text(request_cost const& cost)
{
    constexpr std::size_t max_listed = 8;
    std::string text;
    for (std::size_t index = 0; index + 1 < cost.parts.size() && index < max_listed; ++index)
        text += (index == 0 ? "" : ",") + std::to_string(cost.parts[index].id);
    return text;
}

std::string_view stop_label(answer_ending const& ending)
{
    bool const is_unmarked = ending.framing == answer_framing::connection && ending.stop == answer_stop::closed;
    return is_unmarked ? "closed_without_framing" : name_of(ending.stop);
}

} // namespace

void dispatch_reducer::handle(caller_left const& left, step_context& step)
{
    auto const found = m_requests.find(left.request);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.state == phase::running) {
        step.effects.emplace_back(cancel_attempt { left.request });
        end_attempt(request, nullptr, step);
    }
    step.effects.emplace_back(count_event { counter_kind::cancelled, {} });
    step.effects.emplace_back(log_line { severity::debug, "caller_left",
        log_fields()
            .add("id", request.caller_id)
            .add("after_ms", (step.now - request.arrived).count())
            .add("endpoint", request.endpoint.value())
            .add("begun", request.has_answer_begun ? 1 : 0)
            .take() });
    remove_request(left.request, step);
    serve_waiting_throttled(step);
}

void dispatch_reducer::handle(answer_began const& began, step_context& step)
{
    auto const found = m_requests.find(began.request);
    if (found == m_requests.end() || found->second.attempt != began.attempt)
        return;
    auto& request = found->second;
    if (!request.has_answer_begun) {
        request.first_event_after = step.now - request.arrived;
        step.effects.emplace_back(timer_event { timer_kind::first_event, request.pool, request.first_event_after });
    }
    request.is_answer_bound |= began.continuation == answer_continuation::impossible;
    record_answer_begun(request, step.now);
    blame_endpoints(request, answer_stage::begun, step);
    step.effects.emplace_back(
        timer_event { timer_kind::attempt_first_event, request.pool, step.now - request.sent_at });
    auto* endpoint = m_board.find(request.instance);
    if (endpoint == nullptr)
        return;
    endpoint->announced.backoff.record_success(request.sent_at);
    if (request.is_engine && !request.run.has_first_event)
        record_first_event(request, *endpoint, step);
    serve_waiting_throttled(step);
}

void dispatch_reducer::record_answer_begun(active_request& request, instant now)
{
    if (std::exchange(request.has_answer_begun, true) || request.form != answer_form::stream)
        return;
    request.constraints.software = request.software;
    record_stream(request, now);
}

void dispatch_reducer::record_first_event(active_request& request, endpoint_state& endpoint, step_context& step)
{
    // A router that is behind receives events late, so the delay does not measure the engine. It must not reach the
    // reports to other routers.
    if (m_overload.is_behind())
        return endpoint_board::record_prefill_end(endpoint, request.run);
    auto const took = static_cast<double>((step.now - request.sent_at).count());
    auto const overdue = std::max(took - request.run.estimate.total_ms(), 0.0);
    step.effects.emplace_back(timer_event {
        timer_kind::overdue_first_event, request.pool, milliseconds(static_cast<std::int64_t>(overdue)) });
    m_board.record_first_event(endpoint, request.run, took, step.now);
}

void dispatch_reducer::handle(attempt_ended const& ended, step_context& step)
{
    auto const found = m_requests.find(ended.request);
    if (found == m_requests.end() || found->second.attempt != ended.attempt || found->second.state != phase::running)
        return;
    auto& request = found->second;
    if (ended.has_answer_begun)
        record_answer_begun(request, step.now);
    request.events_forwarded += ended.events;
    if (ended.ending.framing != answer_framing::none)
        step.effects.emplace_back(count_event { counter_kind::answer_stops, stop_label(ended.ending) });
    auto const verdict = verdict_of(ended);
    if (!request.is_engine)
        record_plain_service_end(request, ended.end, verdict, step);
    auto const name = request.endpoint;
    if (ended.content)
        request.content = ended.content;
    if (ended.end == attempt_end::broken)
        record_broken_attempt(request, step);
    if (ended.end == attempt_end::closed)
        record_closed_attempt(request, step);
    attempt_outcome const outcome { ended.end, verdict };
    end_attempt(request, &outcome, step);
    if (ended.end == attempt_end::wrong_endpoint)
        m_board.retire(name);
    if (!is_answer(ended.end)) {
        step.effects.emplace_back(log_line { severity::warning, "attempt_failed",
            log_fields()
                .add("id", request.caller_id)
                .add("attempt", request.attempt.value())
                .add("endpoint", name.value())
                .add("end", name_of(ended.end))
                .add("status", ended.status)
                .add("events", request.events_forwarded)
                .add("after_ms", (step.now - request.sent_at).count())
                .add("content", ended.content.value_or(content_hash()).value())
                .add("parts", shared_parts_text(request.cost))
                .add("framing", name_of(ended.ending.framing))
                .add("ended_by", name_of(ended.ending.stop))
                .add("partial_bytes", ended.ending.partial_bytes)
                .take() });
        retry_or_end(ended.request, request, ended.end, step);
        return serve_waiting_throttled(step);
    }
    if (ended.end == attempt_end::complete)
        record_answer(request, ended.status, step);
    settle_charge(request, step);
    step.effects.emplace_back(count_event { counter_kind::answers, {} });
    step.effects.emplace_back(timer_event { timer_kind::answer, request.pool, step.now - request.arrived });
    step.effects.emplace_back(log_line { severity::debug, "answered",
        log_fields()
            .add("id", request.caller_id)
            .add("status", ended.status)
            .add("endpoint", name.value())
            .add("events", request.events_forwarded)
            .add("first_ms", request.first_event_after.count())
            .add("expected_ms", static_cast<std::int64_t>(request.expected_ms))
            .add("objective_ms", request.objective.count())
            .add("took_ms", (step.now - request.arrived).count())
            .add("framing", name_of(ended.ending.framing))
            .add("ended_by", name_of(ended.ending.stop))
            .add("partial_bytes", ended.ending.partial_bytes)
            .take() });
    remove_request(ended.request, step);
    serve_waiting_throttled(step);
}

void dispatch_reducer::record_plain_service_end(
    active_request const& request, attempt_end end, attempt_verdict verdict, step_context const& step)
{
    auto* const endpoint = m_board.find(request.instance);
    // A router that is behind receives events late, so the duration does not measure the endpoint.
    if (endpoint == nullptr || m_overload.is_behind())
        return;
    // A back-off says for how long the endpoint wants no requests, not how many concurrent requests are too many.
    if (request.has_requested_backoff)
        return;
    if (end == attempt_end::not_run)
        return endpoint->answer_time.record_rejection(step.now);
    if (!is_answer(end))
        return;
    auto const took = static_cast<double>((step.now - request.sent_at).count());
    auto const sustainable = static_cast<double>(request.objective.count()) * m_options.policy.bearable_answer;
    endpoint->answer_time.record_answer(took, sustainable, endpoint->own.running - 1, step.now);
    if (verdict == attempt_verdict::good)
        m_board.record_service_time(request.pool, took);
}

void dispatch_reducer::handle(attempt_stalled const& stalled, step_context& step)
{
    auto const found = m_requests.find(stalled.request);
    if (found == m_requests.end() || found->second.attempt != stalled.attempt || found->second.state != phase::running)
        return;
    auto& request = found->second;
    auto const reason = reason_against_retry(request, attempt_end::silent);
    if (reason != refusal_reason::none) {
        // The attempt continues, because silence alone is no reason to end an answer. Unless the request is at fault,
        // its endpoint counts as failing, so that other requests go elsewhere.
        if (stalled.content)
            request.content = stalled.content;
        if (auto* endpoint = m_board.find(request.instance))
            record_verdict(request, *endpoint, { attempt_end::silent, attempt_verdict::failed }, step);
        return settle_without_answer(request, step);
    }
    step.effects.emplace_back(cancel_attempt { stalled.request });
    handle(attempt_ended { stalled.request, stalled.attempt, attempt_end::silent, 0, 0, stalled.has_answer_begun,
               stalled.content },
        step);
}

void dispatch_reducer::handle(endpoint_notice_received const& received, step_context& step)
{
    auto const found = m_requests.find(received.request);
    auto const id = found == m_requests.end() ? std::string() : found->second.caller_id;
    auto const change = m_board.apply_notice(received.instance, received.notice, step.now);
    if (received.notice.backoff.count() > 0 && found != m_requests.end() && found->second.instance == received.instance)
        found->second.has_requested_backoff = true;
    if (change.has_started_backoff) {
        step.effects.emplace_back(count_event { counter_kind::notices, "rest" });
        step.effects.emplace_back(log_line { severity::warning, "endpoint_rests",
            log_fields()
                .add("endpoint", received.endpoint.value())
                .add("id", id)
                .add("asked_ms", received.notice.backoff.count())
                .take() });
    }
    if (change.has_started_leaving) {
        step.effects.emplace_back(count_event { counter_kind::notices, "leaving" });
        step.effects.emplace_back(log_line { severity::warning, "endpoint_leaves",
            log_fields().add("endpoint", received.endpoint.value()).add("id", id).take() });
    }
}

void dispatch_reducer::end_attempt(active_request& request, attempt_outcome const* outcome, step_context& step)
{
    request.state = phase::waiting;
    end_trial(request);
    auto* endpoint = m_board.find(request.instance);
    if (endpoint == nullptr)
        return;
    bool const has_failed = outcome != nullptr && outcome->verdict != attempt_verdict::good;
    m_board.record_end(
        *endpoint, request.run, has_failed ? endpoint_board::run_end::failed : endpoint_board::run_end::done, step.now);
    // A failure while this router is behind or its link is full does not show that the endpoint fails.
    bool const is_own_overload
        = m_overload.is_behind() && outcome != nullptr && outcome->verdict == attempt_verdict::failed;
    // A requested back-off is not a failure of the endpoint.
    if (outcome == nullptr || is_own_overload || request.has_requested_backoff)
        return endpoint->health.record_probe_end();
    if (outcome->verdict == attempt_verdict::good && request.form == answer_form::whole)
        endpoint->announced.backoff.record_success(request.sent_at);
    record_verdict(request, *endpoint, *outcome, step);
}

void dispatch_reducer::settle_charge(active_request& request, step_context& step)
{
    if (request.charged == 0 || request.events_forwarded == 0)
        return;
    auto const* pool = m_routes.find_pool(request.pool);
    if (pool == nullptr)
        return;
    auto const generated = static_cast<token_count>(request.events_forwarded) * pool->tokens_per_event;
    m_ledger.charge(
        request.account, step.now, request.cost.prompt + generated_token_weight * generated - request.charged);
}

refusal_reason dispatch_reducer::reason_against_retry(active_request const& request, attempt_end end) const
{
    bool const is_proven_not_run
        = end == attempt_end::not_sent || end == attempt_end::not_run || end == attempt_end::wrong_endpoint;
    if (request.has_answer_begun && (request.retry != retry_mode::resumable || request.is_answer_bound))
        return refusal_reason::answer_broken;
    if (!is_proven_not_run && request.retry == retry_mode::never)
        return refusal_reason::answer_unknown;
    if (request.reached_endpoints + (end == attempt_end::not_sent ? 0 : 1) >= request.max_attempts)
        return refusal_reason::attempts_spent;
    if (!is_proven_not_run && !request.has_answer_begun && request.content
        && m_failing.is_failing_everywhere(identity_of(request)))
        return refusal_reason::fails_everywhere;
    if (end == attempt_end::not_sent && request.failed_sends >= max_failed_sends)
        return refusal_reason::attempts_spent;
    return refusal_reason::none;
}

void dispatch_reducer::retry_or_end(request_number number, active_request& request, attempt_end end, step_context& step)
{
    auto reason = reason_against_retry(request, end);
    if (end == attempt_end::not_sent)
        ++request.failed_sends;
    else
        ++request.reached_endpoints;
    request.may_have_run |= end == attempt_end::broken || end == attempt_end::silent || end == attempt_end::failed;
    if (reason == refusal_reason::none && suspicion_of(request, step) == suspicion::quarantined)
        reason = refusal_reason::crashes_endpoints;
    // Only a stream that has begun is bound to a version; without an endpoint of that version it ends now.
    if (reason == refusal_reason::none && request.has_answer_begun
        && !m_board.has_endpoints(request.pool, request.constraints))
        reason = reason_for_no_endpoint(request, step);
    if (reason == refusal_reason::none && request.reached_endpoints > 0 && !m_retries.spend(request.pool, step.now))
        reason = refusal_reason::retry_budget_spent;
    if (reason != refusal_reason::none && end == attempt_end::failed)
        return forward_failure(number, request, reason, step);
    if (reason != refusal_reason::none)
        return end_failed(number, request, reason, step);
    step.effects.emplace_back(count_event { counter_kind::retries, name_of(end) });
    auto const chosen = choose(request, step);
    bool const is_urgent = request.has_answer_begun;
    if (chosen.endpoint != nullptr && (chosen.is_in_time || is_urgent))
        return send(number, request, chosen, step);
    if (is_urgent && !awaits_list(step.now))
        return end_failed(number, request, reason_for_no_endpoint(request, step), step);
    request.is_failure_withheld = end == attempt_end::failed;
    if (cannot_be_served(request, step))
        return end_wait(number, request, step);
    m_waiting.push_back(number);
}

void dispatch_reducer::forward_failure(
    request_number number, active_request& request, refusal_reason reason, step_context& step)
{
    settle_charge(request, step);
    step.effects.emplace_back(forward_answer { number });
    step.effects.emplace_back(count_event { counter_kind::failures, {} });
    step.effects.emplace_back(log_line { severity::warning, "failure_passed_on",
        log_fields()
            .add("id", request.caller_id)
            .add("endpoint", request.endpoint.value())
            .add("not_again", name_of(reason))
            .add("took_ms", (step.now - request.arrived).count())
            .take() });
    remove_request(number, step);
}

void dispatch_reducer::end_failed(
    request_number number, active_request& request, refusal_reason reason, step_context& step)
{
    if (request.has_answer_begun) {
        step.effects.emplace_back(abort_answer { number, reason });
        step.effects.emplace_back(count_event { counter_kind::refusals, name_of(reason) });
        step.effects.emplace_back(log_line { severity::warning, "broken_off",
            log_fields()
                .add("id", request.caller_id)
                .add("reason", name_of(reason))
                .add("endpoint", request.endpoint.value())
                .add("events", request.events_forwarded)
                .add("after_ms", (step.now - request.arrived).count())
                .take() });
        return remove_request(number, step);
    }
    refuse(number, request, request.may_have_run ? status_bad_gateway : status_unavailable, reason, step);
}

void dispatch_reducer::refuse(
    request_number number, active_request& request, std::uint16_t status, refusal_reason reason, step_context& step)
{
    answer_refusal refused { number, status, reason, std::nullopt };
    if (!request.may_have_run && reason != refusal_reason::prompt_too_large)
        refused.retry_after = retry_delay_for(request, reason, step);
    step.effects.emplace_back(refused);
    step.effects.emplace_back(count_event { counter_kind::refusals, name_of(reason) });
    auto const occupied = m_board.occupancy_of(request.pool, step.now);
    auto const suspect = most_suspected(request);
    log_fields fields;
    fields.add("id", request.caller_id);
    if (request.resumption)
        fields.add("resumed_request", shorten(request.resumption->first_request));
    step.effects.emplace_back(log_line { severity::warning, "refused",
        fields.add("status", status)
            .add("reason", name_of(reason))
            .add("team", request.team.value())
            .add("level", m_ledger.level(request.account, step.now))
            .add("pool", request.pool.value())
            .add("taken", occupied.used_slots)
            .add("places", occupied.slots)
            .add("scarce_percent", static_cast<int>(m_board.scarcity_of(request.pool) * percent))
            .add("rest_ms",
                m_board.all_backed_off_for(request.pool, request.constraints, step.now)
                    .value_or(milliseconds(0))
                    .count())
            .add("content", request.content.value_or(content_hash()).value())
            .add("crashes", suspect.crashes)
            .add("suspect", suspect.identity.content.value())
            .add("suspect_part", suspect.part)
            .add("waiting", m_waiting.size())
            .add("share", m_ledger.share())
            .add("even_level", m_ledger.even_level())
            .add("best", request.last_choice.value())
            .add("best_running", request.last_running)
            .add("best_expected_ms", static_cast<std::int64_t>(request.expected_ms))
            .add("best_lost", request.last_redundant_prefill)
            .add("after_ms", (step.now - request.arrived).count())
            .add("peers", m_peers.size())
            .take() });
    if (request.charged != 0 && !request.may_have_run)
        m_ledger.charge(request.account, step.now, -request.charged);
    remove_request(number, step);
}

void dispatch_reducer::end_at_deadline(request_number number, active_request& request, step_context& step)
{
    auto const reason = request.ends_at_route_limit ? refusal_reason::time_limit : refusal_reason::deadline_passed;
    end_unanswered(number, request, reason, step);
}

void dispatch_reducer::end_unanswered(
    request_number number, active_request& request, refusal_reason reason, step_context& step)
{
    if (request.state == phase::waiting)
        std::erase(m_waiting, number);
    if (request.state == phase::running) {
        step.effects.emplace_back(cancel_attempt { number });
        end_attempt(request, nullptr, step);
        request.may_have_run = true;
    }
    if (request.is_failure_withheld)
        return forward_failure(number, request, reason, step);
    if (request.has_answer_begun)
        return end_failed(number, request, reason, step);
    refuse(number, request, request.may_have_run ? status_gateway_timeout : status_unavailable, reason, step);
}

void dispatch_reducer::remove_request(request_number number, step_context& step)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    settle_without_answer(found->second, step);
    if (found->second.state == phase::waiting)
        std::erase(m_waiting, number);
    m_requests.erase(found);
}

} // namespace shedhill::dispatch
