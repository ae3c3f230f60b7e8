// SPDX-License-Identifier: BSD-2-Clause
// Handles the events of requests: callers, grants, answers and time. request_attempts.cpp handles attempts and their
// ends.
#include "libraries/router/request_flow.h"

#include "base/hash.h"
#include "libraries/router/admission.h"
#include "libraries/router/refusals.h"

#include <algorithm>

namespace shedhill::router {

void request_flow::handle_arrival(caller_request const& arrived, bool is_ready, step_context& step)
{
    step.count(counter::requests);
    auto const* team = m_dependencies.catalog.find_team_by_key_hash(arrived.key_hash);
    auto const why = m_is_draining ? wire::reason::router_draining
        : !is_ready
        ? wire::reason::router_not_ready
        : check_admission(arrived, team, m_dependencies.reach, m_dependencies.queues, m_dependencies.settings);
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
        ? std::min(arrived.time_left, m_dependencies.settings.default_deadline)
        : m_dependencies.settings.default_deadline;
    accepted.deadline = step.now() + time_left;
    m_deadlines.insert({ accepted.deadline, arrived.request });
    auto& stored = m_requests[arrived.request] = std::move(accepted);
    m_retries.record_first_attempt();
    if (stored.caller.is_repeatable) {
        enqueue(stored, step);
        return;
    }
    stored.phase = request_phase::claiming;
    stored.claim_id = m_dependencies.settings.vm.value() + "." + std::to_string(m_dependencies.settings.epoch.value())
        + "." + std::to_string(arrived.request.value());
    m_dependencies.claims.add(
        arrived.request, { stored.team.value() + "/" + stored.caller.idempotency_key, stored.claim_id });
    m_dependencies.claims.tick(step);
}

void request_flow::drop_caller(request_number number, step_context& step)
{
    auto const found = m_requests.find(number);
    if (found == m_requests.end())
        return;
    auto& dropped = found->second;
    step.emit(count_refusal { wire::reason::caller_gone });
    if (dropped.phase == request_phase::running) {
        // A request that is not repeatable runs to its end: a partial run has no use, and its idempotency key is spent.
        if (dropped.caller.is_repeatable)
            cancel_attempt(dropped, step);
        dropped.may_have_run = true;
    }
    // While the claim is in flight, its verdict decides whether there is a claim to release.
    if (dropped.phase != request_phase::claiming && !dropped.claim_id.empty() && !dropped.may_have_run)
        m_dependencies.claims.release(
            { dropped.team.value() + "/" + dropped.caller.idempotency_key, dropped.claim_id });
    auto const account = dropped.account;
    erase(dropped);
    m_dependencies.planner.sync_offers(account, step);
}

void request_flow::apply_claim_verdicts(claims_answered const& answered, step_context& step)
{
    for (auto const& [number, claim, verdict] : m_dependencies.claims.take_answers(answered.batch, answered.verdicts)) {
        auto const found = m_requests.find(number);
        if (found == m_requests.end() || found->second.phase != request_phase::claiming) {
            // The request has ended, with the outcome "not run" or without its caller.
            if (verdict != table_service::claim_verdict::taken)
                m_dependencies.claims.release(claim);
            continue;
        }
        auto& waiting = found->second;
        switch (verdict) {
        case table_service::claim_verdict::won:
            enqueue(waiting, step);
            break;
        case table_service::claim_verdict::taken:
            waiting.claim_id.clear();
            // The holder of the claim may run the request or may have run it, so the outcome cannot be "not run".
            waiting.may_have_run = true;
            finish_without_answer(waiting, wire::reason::claim_taken, step);
            break;
        case table_service::claim_verdict::unavailable:
            finish_without_answer(waiting, wire::reason::claim_unavailable, step);
            break;
        }
    }
}

void request_flow::handle_message(link& from, wire::grant const& granted, step_context& step)
{
    step.count(counter::grants_received);
    if (auto const offered = from.offered.find(granted.account);
        offered != from.offered.end() && offered->second.remaining > 0)
        --offered->second.remaining;
    auto const account = m_dependencies.planner.choose_for_grant(from, granted.account, step.now());
    if (!account) {
        step.count(counter::grants_without_work);
        from.offered.erase(granted.account);
        step.send(from.connection, wire::no_work { granted.number });
        return;
    }
    if (*account != granted.account)
        step.count(counter::grants_moved);
    auto const number = m_dependencies.queues.pop_front(*account);
    start_attempt(m_requests.at(number), from, granted, step);
}

void request_flow::handle_message(link& from, wire::chunk const& received, step_context& step)
{
    auto* receiver = find_attempt(from, received.request, received.attempt);
    if (receiver == nullptr || received.sequence < receiver->next_sequence) {
        step.count(counter::chunks_ignored);
        return;
    }
    if (received.sequence > receiver->next_sequence) {
        cancel_attempt(*receiver, step);
        fail_attempt(*receiver, wire::reason::chunk_gap, step);
        return;
    }
    receiver->next_sequence = chunk_sequence(received.sequence.value() + 1);
    receiver->last_progress = step.now();
    if (received.service > receiver->charged_service)
        settle_charge(*receiver, received.service);
    forward_chunk(*receiver, received, step);
}

void request_flow::handle_message(link& from, wire::finished const& received, step_context& step)
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
        fail_attempt(*ended, received.why, step);
        return;
    }
    if (received.sequence != ended->next_sequence) {
        fail_attempt(*ended, wire::reason::chunk_gap, step);
        return;
    }
    m_dependencies.planner.record_finished(ended->account, received.service, step.now());
    finish_answered(*ended, step);
    if (from.free_slots > 0)
        m_dependencies.planner.offer_all(from, step);
}

void request_flow::handle_message(link& from, wire::refused const& received, step_context& step)
{
    if (received.why == wire::reason::stale_revision)
        from.required_revision = std::max(from.required_revision, received.revision);
    if (received.why == wire::reason::endpoint_draining)
        from.is_draining = true;
    if (auto* returned = find_attempt(from, received.request, received.attempt))
        requeue_not_run(*returned, received.why, step);
}

void request_flow::handle_link_lost(link& broken, step_context& step)
{
    // The loop uses a copy, because fail_attempt() changes the set.
    auto const running = broken.running;
    for (auto const number : running) {
        if (auto const found = m_requests.find(number); found != m_requests.end())
            fail_attempt(found->second, wire::reason::endpoint_lost, step);
    }
}

void request_flow::tick(step_context& step)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= step.now()) {
        auto& expired = m_requests.at(m_deadlines.begin()->second);
        if (expired.phase != request_phase::running) {
            finish_without_answer(expired, wire::reason::deadline_in_queue, step);
            continue;
        }
        cancel_attempt(expired, step);
        expired.may_have_run = true;
        finish_without_answer(expired, wire::reason::deadline_while_running, step);
    }
    std::vector<request_number> stalled;
    for (auto const& [number, open] : m_requests) {
        auto const limit = open.next_sequence == chunk_sequence() ? m_dependencies.settings.first_chunk_limit
                                                                  : m_dependencies.settings.next_chunk_limit;
        if (open.phase == request_phase::running && step.now() - open.last_progress > limit)
            stalled.push_back(number);
    }
    std::ranges::sort(stalled);
    for (auto const number : stalled) {
        auto& stalled_request = m_requests.at(number);
        cancel_attempt(stalled_request, step);
        fail_attempt(stalled_request, wire::reason::stalled, step);
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
        auto const* team = m_dependencies.catalog.find_team_by_key_hash(arrived.key_hash);
        answer.retry_after
            = team == nullptr ? std::chrono::seconds(1) : retry_delay(account_of(team->name, arrived.pool));
    }
    step.emit(std::move(answer));
}

std::chrono::seconds request_flow::retry_delay(account_id account) const
{
    constexpr std::chrono::seconds min_delay { 1 };
    constexpr std::chrono::seconds max_delay { 60 };
    auto const wait = std::chrono::ceil<std::chrono::seconds>(m_dependencies.planner.expected_wait(account));
    return std::clamp(wait, min_delay, max_delay);
}

void request_flow::enqueue(request& queued, step_context& step)
{
    queued.phase = request_phase::queued;
    m_dependencies.queues.open(queued.account, queued.team, queued.caller.pool, queued.weight);
    if (m_dependencies.ledger.is_idle(queued.account, m_dependencies.settings.aggregator.idle_after, step.now())) {
        if (auto const floor = m_dependencies.planner.activation_floor(queued.account, step.now()))
            m_dependencies.ledger.activate(queued.account, *floor);
    }
    m_dependencies.ledger.record_active(queued.account, step.now());
    m_dependencies.queues.push_back(queued.account, queued.caller.request);
    m_dependencies.planner.sync_offers(queued.account, step);
}

void request_flow::erase(request& ended)
{
    detach_from_link(ended);
    auto const number = ended.caller.request;
    m_dependencies.queues.remove(ended.account, number);
    m_deadlines.erase({ ended.deadline, number });
    m_requests.erase(number);
}

} // namespace shedhill::router
