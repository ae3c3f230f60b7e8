// SPDX-License-Identifier: BSD-2-Clause
// Starts attempts, forwards their chunks, decides from their ends whether to retry, and sends the final answer.
#include "base/verify.h"
#include "libraries/router/refusals.h"
#include "libraries/router/request_flow.h"

#include <algorithm>

namespace shedhill::router {

namespace {

// Whether a refusal has a cause other than a failure of the engine. After such a refusal the request is sent again
// regardless of the attempt limit and the retry budget.
bool is_free_to_retry(wire::reason why)
{
    return why == wire::reason::stale_revision || why == wire::reason::endpoint_draining
        || why == wire::reason::unknown_grant;
}

} // namespace

void request_flow::start_attempt(request& started, link& to, wire::grant const& granted, step_context& step)
{
    verify(!started.has_answer_started, "a request whose answer has started has no other attempt");
    verify(started.caller.is_repeatable || !started.may_have_run,
        "a request that may have run is sent again only if it is repeatable");
    started.phase = request_phase::running;
    started.attempt = attempt_number(started.attempt.value() + 1);
    started.connection = to.connection;
    started.next_sequence = chunk_sequence();
    started.last_progress = step.now();
    started.withheld_answer.clear();
    to.running.insert(started.caller.request);
    to.free_slots -= std::min(to.free_slots, 1U);
    settle_charge(started, m_dependencies.planner.expected_cost(started.account));

    wire::run sent;
    sent.grant = granted.number;
    sent.request = started.caller.request;
    sent.attempt = started.attempt;
    sent.method = started.caller.method;
    sent.target = started.caller.target;
    sent.headers = started.caller.headers;
    sent.body = started.caller.body;
    sent.is_repeatable = started.caller.is_repeatable;
    sent.is_model_call = started.caller.is_model_call;
    sent.time_left = started.deadline - step.now();
    sent.revision = m_dependencies.catalog.current_revision();
    to.last_sent_revision = sent.revision;
    sent.account = started.account;
    sent.expected_cost = m_dependencies.planner.expected_cost(started.account);
    sent.refresh = m_dependencies.planner.refresh_entries_for_run(started.account, granted.account, to, step.now());
    step.send(to.connection, std::move(sent));
}

void request_flow::settle_charge(request& charged, service_units actual)
{
    m_dependencies.ledger.charge(charged.account, actual - charged.charged_service);
    charged.charged_service = actual;
}

void request_flow::detach_from_link(request& detached)
{
    if (auto* from = m_dependencies.links.find(detached.connection))
        from->running.erase(detached.caller.request);
}

void request_flow::forward_chunk(request& receiver, wire::chunk const& received, step_context& step)
{
    auto const number = receiver.caller.request;
    if (received.sequence == chunk_sequence()) {
        receiver.status = received.status;
        receiver.content_type = received.content_type;
    }
    if (!receiver.caller.is_streamed) {
        if (receiver.withheld_answer.size() + received.data.size()
            > m_dependencies.settings.max_withheld_answer_bytes) {
            cancel_attempt(receiver, step);
            receiver.may_have_run = true;
            finish_without_answer(receiver, wire::reason::body_too_large, step);
            return;
        }
        receiver.withheld_answer += received.data;
        return;
    }
    if (!receiver.has_answer_started) {
        receiver.has_answer_started = true;
        step.emit(answer_start { number, receiver.status, receiver.content_type });
    }
    if (!received.data.empty())
        step.emit(answer_chunk { number, received.data });
}

void request_flow::requeue_not_run(request& returned, wire::reason why, step_context& step)
{
    settle_charge(returned, service_units());
    detach_from_link(returned);
    returned.phase = request_phase::queued;
    if (m_is_draining) {
        finish_without_answer(returned, wire::reason::router_draining, step);
        return;
    }
    if (!is_free_to_retry(why)) {
        if (returned.attempt.value() >= m_dependencies.settings.max_attempts) {
            finish_without_answer(returned, wire::reason::attempts_spent, step);
            return;
        }
        if (!m_retries.spend()) {
            finish_without_answer(returned, wire::reason::retry_budget_spent, step);
            return;
        }
    }
    step.emit(count_retry { why });
    m_dependencies.queues.push_front(returned.account, returned.caller.request);
    m_dependencies.planner.sync_offers(returned.account, step);
}

void request_flow::fail_attempt(request& failed, wire::reason why, step_context& step)
{
    detach_from_link(failed);
    failed.may_have_run = true;
    auto const may_repeat = failed.caller.is_repeatable && !failed.has_answer_started && !m_is_draining
        && failed.attempt.value() < m_dependencies.settings.max_attempts;
    if (!may_repeat || !m_retries.spend()) {
        finish_without_answer(failed, why, step);
        return;
    }
    step.emit(count_retry { why });
    // The failed attempt stays charged, because it used the capacity.
    failed.charged_service = service_units();
    failed.phase = request_phase::queued;
    m_dependencies.queues.push_front(failed.account, failed.caller.request);
    m_dependencies.planner.sync_offers(failed.account, step);
}

void request_flow::cancel_attempt(request& cancelled, step_context& step)
{
    step.send(cancelled.connection, wire::cancel { cancelled.caller.request, cancelled.attempt });
}

void request_flow::finish_answered(request& answered, step_context& step)
{
    step.count(counter::answers_whole);
    auto const number = answered.caller.request;
    if (answered.caller.is_streamed) {
        if (!answered.has_answer_started)
            step.emit(answer_start { number, answered.status, answered.content_type });
        step.emit(answer_end { number, wire::run_outcome::ran, wire::reason::none });
    } else {
        step.emit(answer_whole { number, answered.status, answered.content_type, std::move(answered.withheld_answer),
            wire::run_outcome::ran, wire::reason::none, std::nullopt });
    }
    erase(answered);
}

void request_flow::finish_without_answer(request& ended, wire::reason why, step_context& step)
{
    step.emit(count_refusal { why });
    auto const is_claiming = ended.phase == request_phase::claiming;
    auto const outcome = ended.may_have_run ? wire::run_outcome::unknown
        : is_claiming                       ? refused_outcome(ended.caller, why)
                                            : wire::run_outcome::not_run;
    auto const number = ended.caller.request;
    if (outcome == wire::run_outcome::not_run && !ended.claim_id.empty() && ended.phase != request_phase::claiming)
        m_dependencies.claims.release({ ended.team.value() + "/" + ended.caller.idempotency_key, ended.claim_id });
    if (why == wire::reason::claim_unavailable)
        m_dependencies.claims.release({ ended.team.value() + "/" + ended.caller.idempotency_key, ended.claim_id });
    if (ended.has_answer_started) {
        step.emit(answer_end { number, outcome, why });
    } else {
        auto answer = make_refusal(number, outcome, why);
        if (is_overload(why))
            answer.retry_after = retry_delay(ended.account);
        step.emit(std::move(answer));
    }
    auto const account = ended.account;
    erase(ended);
    m_dependencies.planner.sync_offers(account, step);
}

} // namespace shedhill::router
