// SPDX-License-Identifier: BSD-2-Clause
// From a request's being sent to its end: what an attempt's end proves, whether the request may be sent again, and the
// final answer.
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr std::uint32_t most_failed_sends = 3;
constexpr double percent = 100;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;
constexpr std::uint16_t first_server_error = 500;

attempt_verdict verdict_of(attempt_ended const& ended)
{
    switch (ended.end) {
    case attempt_end::complete:
        return ended.status >= first_server_error ? attempt_verdict::failed : attempt_verdict::good;
    case attempt_end::not_run:
    case attempt_end::wrong_endpoint:
        return attempt_verdict::turned_away;
    case attempt_end::not_sent:
    case attempt_end::failed:
    case attempt_end::broken:
    case attempt_end::silent:
        break;
    }
    return attempt_verdict::failed;
}

} // namespace

void dispatch_reducer::handle(caller_left const& left, step_context& step)
{
    auto const found = m_requests.find(left.request);
    if (found == m_requests.end())
        return;
    auto& request = found->second;
    if (request.at == phase::running) {
        step.effects.emplace_back(cancel_attempt { left.request });
        leave_endpoint(request, nullptr, step);
    }
    step.effects.emplace_back(count_event { counted::cancelled, {} });
    step.effects.emplace_back(log_line { severity::debug, "caller_left",
        log_fields()
            .add("id", request.caller_id)
            .add("after_ms", (step.now - request.arrived).count())
            .add("endpoint", request.endpoint.value())
            .add("begun", request.has_answer_begun ? 1 : 0)
            .take() });
    forget(left.request);
    serve_waiting_again(step);
}

void dispatch_reducer::handle(answer_began const& began, step_context& step)
{
    auto const found = m_requests.find(began.request);
    if (found == m_requests.end() || found->second.attempt != began.attempt)
        return;
    auto& request = found->second;
    if (!request.has_answer_begun) {
        request.first_event_after = step.now - request.arrived;
        step.effects.emplace_back(time_event { timed::first_event, request.pool, request.first_event_after });
    }
    request.has_answer_begun = true;
    step.effects.emplace_back(time_event { timed::attempt_first_event, request.pool, step.now - request.sent_at });
    auto* endpoint = m_board.find(request.start);
    if (endpoint == nullptr)
        return;
    endpoint->word.rest.note_good(request.sent_at);
    if (request.is_engine && !request.run.has_first_event)
        note_engine_began(request, *endpoint, step);
    serve_waiting_again(step);
}

void dispatch_reducer::note_engine_began(active_request& request, endpoint_state& endpoint, step_context& step)
{
    // What a router that is behind sees late says nothing of the engine, and would be told to all others.
    if (m_overload.is_behind())
        return endpoint_board::note_begun(endpoint, request.run);
    auto const took = static_cast<double>((step.now - request.sent_at).count());
    auto const overdue = std::max(took - request.run.forecast.total_ms(), 0.0);
    step.effects.emplace_back(
        time_event { timed::overdue_first_event, request.pool, milliseconds(static_cast<std::int64_t>(overdue)) });
    m_board.note_first_event(endpoint, request.run, took, step.now);
}

void dispatch_reducer::handle(attempt_ended const& ended, step_context& step)
{
    auto const found = m_requests.find(ended.request);
    if (found == m_requests.end() || found->second.attempt != ended.attempt || found->second.at != phase::running)
        return;
    auto& request = found->second;
    request.has_answer_begun |= ended.has_answer_begun;
    request.events_passed += ended.events;
    auto const verdict = verdict_of(ended);
    if (!request.is_engine)
        note_plain_end(request, ended.end, verdict, step);
    auto const name = request.endpoint;
    if (ended.content)
        request.content = ended.content;
    if (ended.end == attempt_end::broken)
        note_broken(request, step);
    leave_endpoint(request, &verdict, step);
    if (ended.end == attempt_end::wrong_endpoint)
        m_board.retire(name);
    if (ended.end != attempt_end::complete) {
        step.effects.emplace_back(log_line { severity::warning, "attempt_failed",
            log_fields()
                .add("id", request.caller_id)
                .add("attempt", request.attempt.value())
                .add("endpoint", name.value())
                .add("end", name_of(ended.end))
                .add("status", ended.status)
                .add("events", request.events_passed)
                .add("after_ms", (step.now - request.sent_at).count())
                .add("content", ended.content.value_or(content_hash()).value())
                .take() });
        try_again_or_end(ended.request, request, ended.end, step);
        return serve_waiting_again(step);
    }
    note_answered(request, step);
    settle_charge(request, step);
    step.effects.emplace_back(count_event { counted::answers, {} });
    step.effects.emplace_back(time_event { timed::answer, request.pool, step.now - request.arrived });
    step.effects.emplace_back(log_line { severity::debug, "answered",
        log_fields()
            .add("id", request.caller_id)
            .add("status", ended.status)
            .add("endpoint", name.value())
            .add("events", request.events_passed)
            .add("first_ms", request.first_event_after.count())
            .add("expected_ms", static_cast<std::int64_t>(request.expected_ms))
            .add("objective_ms", request.objective.count())
            .add("took_ms", (step.now - request.arrived).count())
            .take() });
    forget(ended.request);
    serve_waiting_again(step);
}

void dispatch_reducer::note_plain_end(
    active_request const& request, attempt_end end, attempt_verdict verdict, step_context const& step)
{
    auto* const endpoint = m_board.find(request.start);
    // What a router that is behind sees late says nothing of the endpoint.
    if (endpoint == nullptr || m_overload.is_behind())
        return;
    // A rest tells for how long nothing is wanted, not how many at once are too many.
    if (request.has_asked_for_rest)
        return;
    if (end == attempt_end::not_run)
        return endpoint->answer_time.note_turned_away(step.now);
    if (end != attempt_end::complete)
        return;
    auto const took = static_cast<double>((step.now - request.sent_at).count());
    auto const bearable = static_cast<double>(request.objective.count()) * m_options.policy.bearable_answer;
    endpoint->answer_time.note_answer(took, bearable, endpoint->own.running - 1, step.now);
    if (verdict == attempt_verdict::good)
        m_board.note_service_time(request.pool, took);
}

void dispatch_reducer::handle(attempt_stalled const& stalled, step_context& step)
{
    auto const found = m_requests.find(stalled.request);
    if (found == m_requests.end() || found->second.attempt != stalled.attempt || found->second.at != phase::running)
        return;
    auto& request = found->second;
    auto const reason = why_not_again(request, attempt_end::silent);
    if (reason != refusal_reason::none) {
        // It goes on: silence alone is no reason to end an answer. But others are sent elsewhere.
        if (auto* endpoint = m_board.find(request.start))
            endpoint->health.note(attempt_verdict::failed, step.now);
        return;
    }
    step.effects.emplace_back(cancel_attempt { stalled.request });
    handle(
        attempt_ended { stalled.request, stalled.attempt, attempt_end::silent, 0, 0, stalled.has_answer_begun }, step);
}

void dispatch_reducer::handle(endpoint_told const& told, step_context& step)
{
    auto const found = m_requests.find(told.request);
    auto const id = found == m_requests.end() ? std::string() : found->second.caller_id;
    auto const change = m_board.take_notice(told.start, told.notice, step.now);
    if (told.notice.rest.count() > 0 && found != m_requests.end() && found->second.start == told.start)
        found->second.has_asked_for_rest = true;
    if (change.has_begun_rest) {
        step.effects.emplace_back(count_event { counted::notices, "rest" });
        step.effects.emplace_back(log_line { severity::warning, "endpoint_rests",
            log_fields()
                .add("endpoint", told.endpoint.value())
                .add("id", id)
                .add("asked_ms", told.notice.rest.count())
                .take() });
    }
    if (change.has_begun_leaving) {
        step.effects.emplace_back(count_event { counted::notices, "leaving" });
        step.effects.emplace_back(log_line { severity::warning, "endpoint_leaves",
            log_fields().add("endpoint", told.endpoint.value()).add("id", id).take() });
    }
}

void dispatch_reducer::leave_endpoint(active_request& request, attempt_verdict const* verdict, step_context& step)
{
    request.at = phase::waiting;
    end_trial(request);
    auto* endpoint = m_board.find(request.start);
    if (endpoint == nullptr)
        return;
    bool const has_failed = verdict != nullptr && *verdict != attempt_verdict::good;
    m_board.note_end(
        *endpoint, request.run, has_failed ? endpoint_board::run_end::failed : endpoint_board::run_end::done, step.now);
    // What fails while this router is behind, or its link is full, says nothing of the endpoint.
    bool const is_own_trouble = m_overload.is_behind() && verdict != nullptr && *verdict == attempt_verdict::failed;
    // Who asks for rest gets it, and is not ill.
    if (verdict == nullptr || is_own_trouble || request.has_asked_for_rest)
        return endpoint->health.note_probe_over();
    if (*verdict == attempt_verdict::good && request.form == answer_form::whole)
        endpoint->word.rest.note_good(request.sent_at);
    if (!endpoint->health.note(*verdict, step.now))
        return;
    step.effects.emplace_back(count_event { counted::ejections, {} });
    step.effects.emplace_back(log_line { severity::warning, "endpoint_ejected",
        log_fields().add("endpoint", request.endpoint.value()).add("id", request.caller_id).take() });
}

void dispatch_reducer::settle_charge(active_request& request, step_context& step)
{
    if (request.charged == 0 || request.events_passed == 0)
        return;
    auto const* pool = m_routes.find_pool(request.pool);
    if (pool == nullptr)
        return;
    auto const made = static_cast<token_count>(request.events_passed) * pool->tokens_per_event;
    m_ledger.charge(request.account, step.now, request.cost.prompt + weight_of_a_token_made * made - request.charged);
}

refusal_reason dispatch_reducer::why_not_again(active_request const& request, attempt_end end) const
{
    bool const is_proved_not_run
        = end == attempt_end::not_sent || end == attempt_end::not_run || end == attempt_end::wrong_endpoint;
    if (request.has_answer_begun && request.repeat != repetition::resumable)
        return refusal_reason::answer_broken;
    if (!is_proved_not_run && request.repeat == repetition::never)
        return refusal_reason::answer_unknown;
    if (request.arrivals + (end == attempt_end::not_sent ? 0 : 1) >= request.most_attempts)
        return refusal_reason::attempts_spent;
    if (end == attempt_end::not_sent && request.failed_sends >= most_failed_sends)
        return refusal_reason::attempts_spent;
    return refusal_reason::none;
}

void dispatch_reducer::try_again_or_end(
    request_number number, active_request& request, attempt_end end, step_context& step)
{
    auto reason = why_not_again(request, end);
    if (end == attempt_end::not_sent)
        ++request.failed_sends;
    else
        ++request.arrivals;
    request.may_have_run |= end == attempt_end::broken || end == attempt_end::silent || end == attempt_end::failed;
    if (reason == refusal_reason::none && suspicion_of(request, step) == suspicion::quarantined)
        reason = refusal_reason::crashes_endpoints;
    if (reason == refusal_reason::none && request.arrivals > 0 && !m_retries.spend(request.pool, step.now))
        reason = refusal_reason::retry_budget_spent;
    if (reason != refusal_reason::none && end == attempt_end::failed)
        return pass_failure(number, request, reason, step);
    if (reason != refusal_reason::none)
        return finish_failed(number, request, reason, step);
    step.effects.emplace_back(count_event { counted::retries, name_of(end) });
    auto const chosen = choose(request, step);
    bool const is_urgent = request.has_answer_begun;
    if (chosen.endpoint != nullptr && (chosen.is_in_time || is_urgent))
        return send(number, request, chosen, step);
    if (is_urgent)
        return finish_failed(number, request, refusal_reason::no_endpoint, step);
    request.is_failure_kept = end == attempt_end::failed;
    if (is_in_vain(request, step))
        return end_of_wait(number, request, step);
    m_waiting.push_back(number);
}

void dispatch_reducer::pass_failure(
    request_number number, active_request& request, refusal_reason reason, step_context& step)
{
    settle_charge(request, step);
    step.effects.emplace_back(pass_answer { number });
    step.effects.emplace_back(count_event { counted::failures, {} });
    step.effects.emplace_back(log_line { severity::warning, "failure_passed_on",
        log_fields()
            .add("id", request.caller_id)
            .add("endpoint", request.endpoint.value())
            .add("not_again", name_of(reason))
            .add("took_ms", (step.now - request.arrived).count())
            .take() });
    forget(number);
}

void dispatch_reducer::finish_failed(
    request_number number, active_request& request, refusal_reason reason, step_context& step)
{
    if (request.has_answer_begun) {
        step.effects.emplace_back(break_answer { number, reason });
        step.effects.emplace_back(count_event { counted::refusals, name_of(reason) });
        step.effects.emplace_back(log_line { severity::warning, "broken_off",
            log_fields()
                .add("id", request.caller_id)
                .add("reason", name_of(reason))
                .add("endpoint", request.endpoint.value())
                .add("events", request.events_passed)
                .add("after_ms", (step.now - request.arrived).count())
                .take() });
        return forget(number);
    }
    refuse(number, request, request.may_have_run ? status_bad_gateway : status_unavailable, reason, step);
}

void dispatch_reducer::refuse(
    request_number number, active_request& request, std::uint16_t status, refusal_reason reason, step_context& step)
{
    answer_refusal refused { number, status, reason, std::nullopt };
    if (!request.may_have_run && reason != refusal_reason::prompt_too_large)
        refused.retry_after = come_back_after(request, reason, step);
    step.effects.emplace_back(refused);
    step.effects.emplace_back(count_event { counted::refusals, name_of(reason) });
    auto const occupied = m_board.occupancy_of(request.pool, step.now);
    step.effects.emplace_back(log_line { severity::warning, "refused",
        log_fields()
            .add("id", request.caller_id)
            .add("status", status)
            .add("reason", name_of(reason))
            .add("team", request.team.value())
            .add("level", m_ledger.level(request.account, step.now))
            .add("pool", request.pool.value())
            .add("taken", occupied.taken)
            .add("places", occupied.places)
            .add("scarce_percent", static_cast<int>(m_board.scarcity_of(request.pool) * percent))
            .add("rest_ms",
                m_board.all_rest_for(request.pool, request.regions, step.now).value_or(milliseconds(0)).count())
            .add("content", request.content.value_or(content_hash()).value())
            .add("crashes", m_suspects.crashes_of(identity_of(request)))
            .add("waiting", m_waiting.size())
            .add("share", m_ledger.share())
            .add("even_level", m_ledger.even_level())
            .add("best", request.last_choice.value())
            .add("best_running", request.last_running)
            .add("best_expected_ms", static_cast<std::int64_t>(request.expected_ms))
            .add("best_lost", request.last_lost)
            .add("after_ms", (step.now - request.arrived).count())
            .add("peers", m_peers.size())
            .take() });
    if (request.charged != 0 && !request.may_have_run)
        m_ledger.charge(request.account, step.now, -request.charged);
    forget(number);
}

void dispatch_reducer::end_at_deadline(request_number number, active_request& request, step_context& step)
{
    if (request.at == phase::waiting)
        std::erase(m_waiting, number);
    if (request.at == phase::running) {
        step.effects.emplace_back(cancel_attempt { number });
        leave_endpoint(request, nullptr, step);
        request.may_have_run = true;
    }
    auto const reason = request.ends_at_route_limit ? refusal_reason::time_limit : refusal_reason::deadline_passed;
    if (request.is_failure_kept)
        return pass_failure(number, request, reason, step);
    if (request.has_answer_begun)
        return finish_failed(number, request, reason, step);
    refuse(number, request, request.may_have_run ? status_gateway_timeout : status_unavailable, reason, step);
}

void dispatch_reducer::forget(request_number number)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    if (found->second.at == phase::waiting)
        std::erase(m_waiting, number);
    m_requests.erase(found);
}

} // namespace shedhill::dispatch
