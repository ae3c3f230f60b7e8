// SPDX-License-Identifier: BSD-2-Clause
// Decides whether the failure of an attempt is held against its endpoint or against the request. A failure that may be
// the request's own fault waits for the request's next attempt at another endpoint: a good answer there shows that the
// endpoint failed, and a failure there shows that the request did.
#include "base/hash.h"
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// A failure waits for the evidence of the next attempt for this multiple of the time that the failed attempt took, and
// for the objective in addition, within these bounds.
constexpr std::int64_t settling_durations = 2;
constexpr milliseconds min_settling_time { 500 };
constexpr milliseconds max_settling_time { 1000 };
constexpr double percent = 100;

// Whether the request itself can have caused this end at a healthy endpoint.
constexpr bool may_be_caused_by_request(attempt_end end)
{
    return end != attempt_end::not_sent && end != attempt_end::wrong_endpoint;
}

} // namespace

void dispatch_reducer::record_verdict(
    active_request& request, endpoint_state& endpoint, attempt_outcome outcome, step_context& step)
{
    if (outcome.verdict == attempt_verdict::good) {
        blame_endpoints(request, answer_stage::ended, step);
        forget_failures(request);
        record_outcome(request, endpoint, outcome.verdict, expected_failure_of(request, request.instance), step);
        if (!m_failing_teams.is_empty())
            m_failing_teams.record_answer(team_requests_of(request), request.instance);
        return;
    }
    if (m_options.policy.failure_attribution <= 0 || !may_be_caused_by_request(outcome.end))
        return record_outcome(request, endpoint, outcome.verdict, 0, step);
    if (is_failure_explained(request, outcome.verdict, step))
        return record_request_fault(request, request.instance, outcome.verdict, step);
    auto const took = step.now - request.sent_at;
    request.unsettled.push_back({ request.instance, outcome.verdict,
        request.has_answer_begun ? answer_stage::begun : answer_stage::none,
        step.now + took * settling_durations + std::clamp(request.objective, min_settling_time, max_settling_time) });
    ++m_unsettled_failures;
}

team_requests dispatch_reducer::team_requests_of(active_request const& request)
{
    return { request.account, stable_hash(request.pool.value()) };
}

double dispatch_reducer::expected_failure_of(active_request const& request, endpoint_key instance) const
{
    if (m_options.policy.failure_comparison <= 0 || m_failing_teams.is_empty())
        return 0;
    return m_failing_teams.expected_failure(team_requests_of(request), instance);
}

void dispatch_reducer::record_outcome(active_request const& request, endpoint_state& endpoint, attempt_verdict verdict,
    double expected_failure, step_context& step)
{
    if (!endpoint.health.record(verdict, step.now, expected_failure))
        return;
    step.effects.emplace_back(count_event { counter_kind::ejections, {} });
    step.effects.emplace_back(log_line { severity::warning, "endpoint_ejected",
        log_fields()
            .add("endpoint", endpoint.entry.name.value())
            .add("id", request.caller_id)
            .add("failures_percent", static_cast<int>(endpoint.health.failures() * percent))
            .add("expected_percent", static_cast<int>(endpoint.health.expected_failures() * percent))
            .take() });
}

bool dispatch_reducer::is_failure_explained(active_request& request, attempt_verdict verdict, step_context& step)
{
    bool is_explained = false;
    // A rejection may be a sign of load, so it does not explain a failure elsewhere, nor the reverse.
    std::erase_if(request.unsettled, [&](unsettled_failure const& earlier) {
        if (earlier.verdict != verdict || earlier.instance == request.instance)
            return false;
        is_explained = true;
        --m_unsettled_failures;
        if (verdict == attempt_verdict::failed && request.content)
            m_failing.record_request_fault(identity_of(request), earlier.instance, step.now);
        record_request_fault(request, earlier.instance, verdict, step);
        return true;
    });
    if (verdict != attempt_verdict::failed || !request.content)
        return is_explained;
    auto const identity = identity_of(request);
    if (!is_explained && !m_failing.has_failed_elsewhere(identity, request.instance))
        return false;
    m_failing.record_request_fault(identity, request.instance, step.now);
    withdraw_failures(request);
    return true;
}

void dispatch_reducer::withdraw_failures(active_request const& request)
{
    for (auto const instance : m_failing.take_counted(identity_of(request))) {
        if (auto* const endpoint = m_board.find(instance))
            endpoint->health.withdraw_failure();
    }
}

void dispatch_reducer::forget_failures(active_request const& request)
{
    if (request.content && !m_failing.is_empty())
        m_failing.record_answer(identity_of(request));
}

void dispatch_reducer::blame_endpoints(active_request& request, answer_stage reached, step_context& step)
{
    std::erase_if(request.unsettled, [&](unsettled_failure const& failure) {
        if (failure.stage >= reached)
            return false;
        // The request itself is proved to be good, so nothing excuses the failure.
        blame_endpoint(request, failure, 0, step);
        return true;
    });
}

void dispatch_reducer::blame_endpoint(
    active_request const& request, unsettled_failure const& failure, double expected_failure, step_context& step)
{
    --m_unsettled_failures;
    if (auto* const endpoint = m_board.find(failure.instance))
        record_outcome(request, *endpoint, failure.verdict, expected_failure, step);
}

void dispatch_reducer::blame_without_proof(
    active_request const& request, unsettled_failure const& failure, step_context& step)
{
    m_failing_teams.record_failure(team_requests_of(request), failure.instance, failure.verdict, step.now);
    blame_endpoint(request, failure, expected_failure_of(request, failure.instance), step);
}

void dispatch_reducer::settle_without_answer(active_request& request, step_context& step)
{
    for (auto const& failure : std::exchange(request.unsettled, {}))
        settle_without_answer(request, failure, step);
}

void dispatch_reducer::settle_without_answer(
    active_request const& request, unsettled_failure const& failure, step_context& step)
{
    if (failure.verdict != attempt_verdict::failed || !request.content)
        return blame_without_proof(request, failure, step);
    switch (m_failing.record_failure(identity_of(request), failure.instance, step.now)) {
    case failing_requests::finding::counts:
        return blame_without_proof(request, failure, step);
    case failing_requests::finding::caused_by_request:
        withdraw_failures(request);
        record_request_fault(request, failure.instance, failure.verdict, step);
        break;
    case failing_requests::finding::repeated:
        if (auto* const endpoint = m_board.find(failure.instance))
            endpoint->health.record_probe_end();
        break;
    }
    --m_unsettled_failures;
}

void dispatch_reducer::settle_overdue_failures(step_context& step)
{
    if (m_unsettled_failures == 0)
        return;
    for (auto& entry : m_requests) {
        auto& request = entry.second;
        std::erase_if(request.unsettled, [&](unsettled_failure const& failure) {
            if (step.now < failure.settled_by)
                return false;
            settle_without_answer(request, failure, step);
            return true;
        });
    }
}

void dispatch_reducer::record_request_fault(
    active_request const& request, endpoint_key instance, attempt_verdict verdict, step_context& step)
{
    m_failing_teams.record_failure(team_requests_of(request), instance, verdict, step.now);
    auto* const endpoint = m_board.find(instance);
    if (endpoint != nullptr)
        endpoint->health.record_probe_end();
    step.effects.emplace_back(count_event { counter_kind::request_faults, {} });
    step.effects.emplace_back(log_line { severity::debug, "request_at_fault",
        log_fields()
            .add("id", request.caller_id)
            .add("endpoint", endpoint == nullptr ? std::string() : endpoint->entry.name.value())
            .add("content", request.content.value_or(content_hash()).value())
            .take() });
}

} // namespace shedhill::dispatch
