// SPDX-License-Identifier: BSD-2-Clause
// The life of a request.
#include "libraries/router/request_flow.h"

#include "base/hash.h"
#include "base/verify.h"
#include "libraries/router/admission.h"
#include "libraries/router/refusals.h"

#include <algorithm>

namespace shedhill::router {

namespace {

// Refusals that say nothing against the engine: the next endpoint may take the request at once.
bool is_free_to_retry(wire::reason why)
{
    return why == wire::reason::stale_revision || why == wire::reason::endpoint_draining
        || why == wire::reason::unknown_grant;
}

} // namespace

void request_flow::arrive(caller_request const& arrived, bool is_ready, step_context& step)
{
    step.count(counter::requests);
    auto const* team = m_parts.catalog.find_team_by_key_hash(arrived.key_hash);
    auto const why = m_is_draining ? wire::reason::router_draining
        : !is_ready                ? wire::reason::router_not_ready
                                   : check_admission(arrived, team, m_parts.reach, m_parts.queues, m_parts.settings);
    if (why != wire::reason::none) {
        refuse_arrival(arrived, why, step);
        return;
    }
    request accepted;
    accepted.caller = arrived;
    accepted.team = team->name;
    accepted.account = account_of(team->name, arrived.pool);
    accepted.weight = team->weight;
    auto const time_left = arrived.time_left > milliseconds(0)
        ? std::min(arrived.time_left, m_parts.settings.default_deadline)
        : m_parts.settings.default_deadline;
    accepted.deadline = step.now() + time_left;
    m_deadlines.insert({ accepted.deadline, arrived.request });
    auto& stored = m_requests[arrived.request] = std::move(accepted);
    m_retries.note_first_try();
    if (stored.caller.is_repeatable) {
        enqueue(stored, step);
        return;
    }
    stored.phase = request_phase::claiming;
    stored.claim_id = m_parts.settings.vm.value() + "." + std::to_string(m_parts.settings.epoch.value()) + "."
        + std::to_string(arrived.request.value());
    m_parts.claims.add(arrived.request, { stored.team.value() + "/" + stored.caller.idempotency_key, stored.claim_id });
    m_parts.claims.tick(step);
}

void request_flow::drop_caller(request_number number, step_context& step)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    auto& gone = found->second;
    step.emit(count_refusal { wire::reason::caller_gone });
    if (gone.phase == request_phase::running) {
        // What may not be repeated runs to its end: half an order helps no one, and its key is spent.
        if (gone.caller.is_repeatable)
            cancel_attempt(gone, step);
        gone.may_have_run = true;
    }
    // While the claim is on its way the answer to it decides whether there is anything to give back.
    if (gone.phase != request_phase::claiming && !gone.claim_id.empty() && !gone.may_have_run)
        m_parts.claims.release({ gone.team.value() + "/" + gone.caller.idempotency_key, gone.claim_id });
    auto const account = gone.account;
    erase(gone);
    m_parts.planner.sync(account, step);
}

void request_flow::take_claims(claims_answered const& answered, step_context& step)
{
    for (auto const& [number, claim, verdict] : m_parts.claims.take_answers(answered.batch, answered.verdicts)) {
        auto const found = m_requests.find(number);
        if (found == m_requests.end() || found->second.phase != request_phase::claiming) {
            // The caller has gone, or was told that the request was not run.
            if (verdict != table_service::claim_verdict::taken)
                m_parts.claims.release(claim);
            continue;
        }
        auto& waiting = found->second;
        switch (verdict) {
        case table_service::claim_verdict::won:
            enqueue(waiting, step);
            break;
        case table_service::claim_verdict::taken:
            waiting.claim_id.clear();
            // The holder of the claim may run it, or have run it: this caller cannot be told "not run".
            waiting.may_have_run = true;
            finish_without_answer(waiting, wire::reason::claim_taken, step);
            break;
        case table_service::claim_verdict::unavailable:
            finish_without_answer(waiting, wire::reason::claim_unavailable, step);
            break;
        }
    }
}

void request_flow::take(link& from, wire::grant const& granted, step_context& step)
{
    step.count(counter::grants_received);
    if (auto const offered = from.offered.find(granted.account);
        offered != from.offered.end() && offered->second.remaining > 0)
        --offered->second.remaining;
    auto const account = m_parts.planner.choose_for_grant(from, granted.account, step.now());
    if (!account) {
        step.count(counter::grants_without_work);
        from.offered.erase(granted.account);
        step.send(from.connection, wire::no_work { granted.number });
        return;
    }
    if (*account != granted.account)
        step.count(counter::grants_moved);
    auto const number = m_parts.queues.pop_front(*account);
    start_attempt(m_requests.at(number), from, granted, step);
}

void request_flow::take(link& from, wire::chunk const& received, step_context& step)
{
    auto* receiver = find_attempt(from, received.request, received.attempt);
    if (receiver == nullptr || received.sequence < receiver->next_sequence) {
        step.count(counter::chunks_ignored);
        return;
    }
    if (received.sequence > receiver->next_sequence) {
        cancel_attempt(*receiver, step);
        lose_attempt(*receiver, wire::reason::chunk_gap, step);
        return;
    }
    receiver->next_sequence = chunk_sequence(received.sequence.value() + 1);
    receiver->last_progress = step.now();
    if (received.service > receiver->charged)
        settle_charge(*receiver, received.service);
    pass_on(*receiver, received, step);
}

void request_flow::take(link& from, wire::finished const& received, step_context& step)
{
    from.free_slots = received.free_slots;
    auto* ended = find_attempt(from, received.request, received.attempt);
    if (ended == nullptr) {
        step.count(counter::chunks_ignored);
        return;
    }
    if (received.outcome == wire::run_outcome::not_run) {
        requeue_not_run(*ended, received.why, step);
        return;
    }
    settle_charge(*ended, received.service);
    if (received.outcome == wire::run_outcome::unknown) {
        lose_attempt(*ended, received.why, step);
        return;
    }
    if (received.sequence != ended->next_sequence) {
        lose_attempt(*ended, wire::reason::chunk_gap, step);
        return;
    }
    m_parts.planner.note_finished(ended->account, received.service, step.now());
    finish_whole(*ended, step);
    if (from.free_slots > 0)
        m_parts.planner.offer_all(from, step);
}

void request_flow::take(link& from, wire::refused const& received, step_context& step)
{
    if (received.why == wire::reason::stale_revision)
        from.needed_revision = std::max(from.needed_revision, received.revision);
    if (received.why == wire::reason::endpoint_draining)
        from.is_draining = true;
    if (auto* returned = find_attempt(from, received.request, received.attempt))
        requeue_not_run(*returned, received.why, step);
}

void request_flow::lose_link(link& broken, step_context& step)
{
    // The attempts are ended one by one, which changes the set.
    auto const running = broken.running;
    for (auto const number : running) {
        if (auto const found = m_requests.find(number); found != m_requests.end())
            lose_attempt(found->second, wire::reason::endpoint_lost, step);
    }
}

void request_flow::tick(step_context& step)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now()) {
        auto& late = m_requests.at(m_deadlines.begin()->second);
        if (late.phase != request_phase::running) {
            finish_without_answer(late, wire::reason::deadline_in_queue, step);
            continue;
        }
        cancel_attempt(late, step);
        late.may_have_run = true;
        finish_without_answer(late, wire::reason::deadline_while_running, step);
    }
    std::vector<request_number> stalled;
    for (auto const& [number, open] : m_requests) {
        auto const limit = open.next_sequence == chunk_sequence() ? m_parts.settings.first_chunk_limit
                                                                  : m_parts.settings.next_chunk_limit;
        if (open.phase == request_phase::running && step.now() - open.last_progress > limit)
            stalled.push_back(number);
    }
    std::ranges::sort(stalled);
    for (auto const number : stalled) {
        auto& silent = m_requests.at(number);
        cancel_attempt(silent, step);
        lose_attempt(silent, wire::reason::stalled, step);
    }
}

void request_flow::drain(step_context& step)
{
    m_is_draining = true;
    std::vector<request_number> waiting;
    for (auto const& [number, open] : m_requests) {
        if (open.phase != request_phase::running)
            waiting.push_back(number);
    }
    std::ranges::sort(waiting);
    for (auto const number : waiting)
        finish_without_answer(m_requests.at(number), wire::reason::router_draining, step);
}

std::vector<account_id> request_flow::accounts_in_use() const
{
    std::vector<account_id> accounts;
    accounts.reserve(m_requests.size());
    for (auto const& [number, open] : m_requests)
        accounts.push_back(open.account);
    std::ranges::sort(accounts);
    accounts.erase(std::unique(accounts.begin(), accounts.end()), accounts.end());
    return accounts;
}

request* request_flow::find_attempt(link const& from, request_number number, attempt_number attempt)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end())
        return nullptr;
    auto& candidate = found->second;
    auto const is_current = candidate.phase == request_phase::running && candidate.attempt == attempt
        && candidate.connection == from.connection;
    return is_current ? &candidate : nullptr;
}

void request_flow::refuse_arrival(caller_request const& arrived, wire::reason why, step_context& step)
{
    step.emit(count_refusal { why });
    auto answer = make_refusal(arrived.request, refused_outcome(arrived, why), why);
    if (is_overload(why)) {
        auto const* team = m_parts.catalog.find_team_by_key_hash(arrived.key_hash);
        answer.retry_after
            = team == nullptr ? std::chrono::seconds(1) : come_back_after(account_of(team->name, arrived.pool));
    }
    step.emit(std::move(answer));
}

std::chrono::seconds request_flow::come_back_after(account_id account) const
{
    constexpr std::chrono::seconds least { 1 };
    constexpr std::chrono::seconds most { 60 };
    auto const wait = std::chrono::ceil<std::chrono::seconds>(m_parts.planner.expected_wait(account));
    return std::clamp(wait, least, most);
}

void request_flow::enqueue(request& queued, step_context& step)
{
    queued.phase = request_phase::queued;
    m_parts.queues.open(queued.account, queued.team, queued.caller.pool, queued.weight);
    if (m_parts.ledger.is_idle(queued.account, m_parts.settings.home.idle_after, step.now())) {
        if (auto const floor = m_parts.planner.floor_for(queued.account, step.now()))
            m_parts.ledger.activate(queued.account, *floor);
    }
    m_parts.ledger.note_active(queued.account, step.now());
    m_parts.queues.push_back(queued.account, queued.caller.request);
    m_parts.planner.sync(queued.account, step);
}

void request_flow::start_attempt(request& started, link& to, wire::grant const& granted, step_context& step)
{
    verify(!started.has_answer_begun, "an answer that has begun has no second attempt");
    verify(started.caller.is_repeatable || !started.may_have_run, "what may not be repeated is not sent again");
    started.phase = request_phase::running;
    started.attempt = attempt_number(started.attempt.value() + 1);
    started.connection = to.connection;
    started.next_sequence = chunk_sequence();
    started.last_progress = step.now();
    started.held.clear();
    to.running.insert(started.caller.request);
    to.free_slots -= std::min(to.free_slots, 1U);
    settle_charge(started, m_parts.planner.expected_cost(started.account));

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
    sent.revision = m_parts.catalog.current_revision();
    to.told_revision = sent.revision;
    sent.account = started.account;
    sent.expected_cost = m_parts.planner.expected_cost(started.account);
    sent.refresh = m_parts.planner.refresh_with_run(started.account, granted.account, to, step.now());
    step.send(to.connection, std::move(sent));
}

void request_flow::settle_charge(request& charged, service_units actual)
{
    m_parts.ledger.charge(charged.account, actual - charged.charged);
    charged.charged = actual;
}

void request_flow::leave_link(request& left)
{
    if (auto* from = m_parts.links.find(left.connection))
        from->running.erase(left.caller.request);
}

void request_flow::pass_on(request& receiver, wire::chunk const& received, step_context& step)
{
    auto const number = receiver.caller.request;
    if (received.sequence == chunk_sequence()) {
        receiver.status = received.status;
        receiver.content_type = received.content_type;
    }
    if (!receiver.caller.is_streamed) {
        if (receiver.held.size() + received.data.size() > m_parts.settings.held_answer_bound) {
            cancel_attempt(receiver, step);
            receiver.may_have_run = true;
            finish_without_answer(receiver, wire::reason::body_too_large, step);
            return;
        }
        receiver.held += received.data;
        return;
    }
    if (!receiver.has_answer_begun) {
        receiver.has_answer_begun = true;
        step.emit(answer_start { number, receiver.status, receiver.content_type });
    }
    if (!received.data.empty())
        step.emit(answer_chunk { number, received.data });
}

void request_flow::requeue_not_run(request& returned, wire::reason why, step_context& step)
{
    settle_charge(returned, service_units());
    leave_link(returned);
    returned.phase = request_phase::queued;
    if (m_is_draining) {
        finish_without_answer(returned, wire::reason::router_draining, step);
        return;
    }
    if (!is_free_to_retry(why)) {
        if (returned.attempt.value() >= m_parts.settings.most_attempts) {
            finish_without_answer(returned, wire::reason::attempts_spent, step);
            return;
        }
        if (!m_retries.spend()) {
            finish_without_answer(returned, wire::reason::retry_budget_spent, step);
            return;
        }
    }
    step.emit(count_retry { why });
    m_parts.queues.push_front(returned.account, returned.caller.request);
    m_parts.planner.sync(returned.account, step);
}

void request_flow::lose_attempt(request& lost, wire::reason why, step_context& step)
{
    leave_link(lost);
    lost.may_have_run = true;
    auto const may_repeat = lost.caller.is_repeatable && !lost.has_answer_begun && !m_is_draining
        && lost.attempt.value() < m_parts.settings.most_attempts;
    if (!may_repeat || !m_retries.spend()) {
        finish_without_answer(lost, why, step);
        return;
    }
    step.emit(count_retry { why });
    // What the lost attempt was given stays charged: the capacity was spent.
    lost.charged = service_units();
    lost.phase = request_phase::queued;
    m_parts.queues.push_front(lost.account, lost.caller.request);
    m_parts.planner.sync(lost.account, step);
}

void request_flow::cancel_attempt(request& cancelled, step_context& step)
{
    step.send(cancelled.connection, wire::cancel { cancelled.caller.request, cancelled.attempt });
}

void request_flow::finish_whole(request& answered, step_context& step)
{
    step.count(counter::answers_whole);
    auto const number = answered.caller.request;
    if (answered.caller.is_streamed) {
        if (!answered.has_answer_begun)
            step.emit(answer_start { number, answered.status, answered.content_type });
        step.emit(answer_end { number, wire::run_outcome::ran, wire::reason::none });
    } else {
        step.emit(answer_whole { number, answered.status, answered.content_type, std::move(answered.held),
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
        m_parts.claims.release({ ended.team.value() + "/" + ended.caller.idempotency_key, ended.claim_id });
    if (why == wire::reason::claim_unavailable)
        m_parts.claims.release({ ended.team.value() + "/" + ended.caller.idempotency_key, ended.claim_id });
    if (ended.has_answer_begun) {
        step.emit(answer_end { number, outcome, why });
    } else {
        auto answer = make_refusal(number, outcome, why);
        if (is_overload(why))
            answer.retry_after = come_back_after(ended.account);
        step.emit(std::move(answer));
    }
    auto const account = ended.account;
    erase(ended);
    m_parts.planner.sync(account, step);
}

void request_flow::erase(request& ended)
{
    leave_link(ended);
    auto const number = ended.caller.request;
    m_parts.queues.remove(ended.account, number);
    m_deadlines.erase({ ended.deadline, number });
    m_requests.erase(number);
}

} // namespace shedhill::router
