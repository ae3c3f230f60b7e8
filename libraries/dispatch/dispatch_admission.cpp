// SPDX-License-Identifier: BSD-2-Clause
// Handles a request from its arrival until it is sent: route, team, queue, choice of an endpoint, and early refusal.
#include "base/hash.h"
#include "libraries/dispatch/admission/retry_delay.h"
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>
#include <tuple>

namespace shedhill::dispatch {

namespace {

// Redundant prefill up to this number of tokens is cheaper than a wait for the engine that has them cached.
constexpr token_count max_redundant_prefill = 300;
// While this many requests wait, a team that is ahead of its share is refused immediately.
constexpr std::size_t many_waiting = 24;
// A choice costs some microseconds, and hundreds of requests may wait under overload. After this many failed choices
// the rest of the queue is not tried.
constexpr std::size_t max_failed_choices = 32;
// With more than few_waiting requests in the queue, events other than ticks try them at most once in this interval.
constexpr milliseconds min_serving_interval { 5 };
constexpr std::size_t few_waiting = 8;
// The silence limit of an attempt is a multiple of the route's objective before the answer begins and of its pause
// objective after that, but not below the minimum.
constexpr milliseconds min_silence_limit { 1000 };
constexpr std::int64_t silence_limit_objectives = 4;
constexpr std::int64_t silence_limit_pauses = 6;
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_too_large = 413;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t status_unavailable = 503;

} // namespace

void dispatch_reducer::handle(request_arrived const& arrived, step_context& step)
{
    step.effects.emplace_back(count_event { counter_kind::requests, {} });
    if (!m_routes.has_configuration())
        return refuse_unrouted(arrived, status_unavailable, refusal_reason::no_configuration, step);
    auto const* route = m_routes.find_route(arrived.host, arrived.path);
    if (route == nullptr)
        return refuse_unrouted(arrived, status_not_found, refusal_reason::no_route, step);
    team_settings const* team = nullptr;
    if (!route->is_public && m_routes.current().has_teams) {
        team = m_routes.find_team(arrived.key);
        if (team == nullptr)
            return refuse_unrouted(arrived, status_unauthorized, refusal_reason::unknown_key, step);
    }
    auto const* pool = route_table::choose_pool(*route, step.draw);
    if (pool == nullptr)
        return refuse_unrouted(arrived, status_unavailable, refusal_reason::no_endpoint, step);
    auto const* pool_declared = m_routes.find_pool(*pool);

    active_request request;
    request.caller_id = arrived.caller_id;
    if (team != nullptr) {
        request.team = team->name;
        request.account = key_of(team->name);
    }
    request.pool = *pool;
    request.cost = arrived.cost;
    request.form = route->form;
    request.retry = route->retry;
    request.objective = route->objective;
    request.pause_objective = route->pause_objective;
    request.priority = team != nullptr && team->priority ? *team->priority : route->priority;
    request.max_attempts = std::max(route->max_attempts, 1U);
    request.constraints.regions.limit_to(route->allowed_regions);
    if (team != nullptr)
        request.constraints.regions.limit_to(team->allowed_regions);
    request.content = arrived.content;
    request.resumption = arrived.resumption;
    request.is_engine = pool_declared != nullptr && pool_declared->is_engine();
    request.arrived = step.now;
    request.unread_time = arrived.unread_time;
    auto const caller_time = arrived.time_left.value_or(m_options.default_deadline);
    auto const route_time = route->time_limit.count() > 0 ? route->time_limit : m_options.default_deadline;
    request.deadline = step.now - request.unread_time + std::min(caller_time, route_time);
    request.ends_at_route_limit = route_time <= caller_time;
    m_retries.record_request(*pool, step.now);
    if (request.is_engine)
        m_ledger.record_requested(request.account, step.now, request.cost.weighted());
    request.is_split = route->pools.size() > 1;
    if (request.deadline <= step.now) {
        auto& stored = m_requests.insert_or_assign(arrived.request, std::move(request)).first->second;
        return end_at_deadline(arrived.request, stored, step);
    }
    if (request.resumption && request.retry == retry_mode::resumable)
        return admit_resumption(arrived.request, std::move(request), *route, step);
    admit(arrived.request, std::move(request), step);
}

void dispatch_reducer::admit(request_number number, active_request request, step_context& step)
{
    auto& stored = m_requests.insert_or_assign(number, std::move(request)).first->second;
    if (suspicion_of(stored, step) == suspicion::quarantined)
        return refuse(number, stored, status_unavailable, refusal_reason::crashes_endpoints, step);
    if (is_overloaded_for(stored, step))
        return refuse(number, stored, status_unavailable, refusal_reason::router_overloaded, step);
    // The prompt never fits into an engine of the pool. The status 413 tells the caller not to retry.
    if (stored.is_engine && m_board.is_too_large(stored.pool, stored.cost.prompt))
        return refuse(number, stored, status_too_large, refusal_reason::prompt_too_large, step);
    // No endpoint can accept the request while it may wait, so the caller is told immediately when to retry.
    if (cannot_be_served(stored, step))
        return refuse(number, stored, status_unavailable, reason_for_no_endpoint(stored, step), step);
    // While others wait, serve_waiting() decides the order by priority and by the teams' levels.
    if ((m_waiting.empty() || stored.precedes_others) && try_to_send(number, stored, step))
        return;
    // Refuses immediately if the team's excess leaves it no slots, or if the team is ahead while many requests wait.
    if (terms_for(stored, step).max_load <= 0
        || (m_waiting.size() >= many_waiting && share_status_of(stored, step) == share_status::ahead))
        return refuse(number, stored, status_too_many_requests, refusal_reason::team_over_share, step);
    m_waiting.push_back(number);
    serve_waiting_throttled(step);
}

bool dispatch_reducer::is_overloaded_for(active_request const& request, step_context const& step)
{
    return request.is_engine && m_overload.refuses(share_status_of(request, step), step.draw);
}

endpoint_choice dispatch_reducer::choose(active_request const& request, step_context const& step)
{
    // Every attempt is chosen here, so no request can bypass these checks.
    if (suspicion_of(request, step) != suspicion::none || awaits_list(step.now))
        return {};
    ++m_choices;
    choice_request choice;
    choice.pool = request.pool;
    choice.cost = &request.cost;
    choice.excluded = &request.tried_endpoints;
    choice.constraints = &request.constraints;
    if (request.retry == retry_mode::resumable && !request.constraints.software && m_versions.is_settling(step.now))
        choice.versions = &m_versions;
    choice.time_left_ms = static_cast<double>((request.arrived + request.objective - step.now).count());
    choice.is_engine = request.is_engine;
    auto const terms = terms_for(request, step);
    choice.max_load = terms.max_load;
    choice.queueing_fraction = terms.queueing_fraction;
    choice.may_probe = request.retry != retry_mode::never && request.max_attempts > 1;
    choice.suspect = suspect_key_of(request);
    use_for_comparison(request, choice, step);
    return m_board.choose(choice, step.now);
}

void dispatch_reducer::use_for_comparison(
    active_request const& request, choice_request& choice, step_context const& step) const
{
    bool const is_of_failing_team
        = !m_failing_teams.is_empty() && m_failing_teams.is_tracked(team_requests_of(request));
    if (!request.tried_endpoints.empty() || is_of_failing_team)
        choice.spread = step.draw;
    if (m_failing.is_empty() || !request.content)
        return;
    auto const identity = identity_of(request);
    choice.failed_at = m_failing.only_failed_at(identity);
    // A request that fails everywhere does not show whether an ejected endpoint has recovered.
    choice.may_probe &= !m_failing.is_known(identity);
}

team_account dispatch_reducer::account_of(active_request const& request, step_context const& step)
{
    return { m_ledger.level(request.account, step.now), m_ledger.share(), m_ledger.even_level() };
}

share_status dispatch_reducer::share_status_of(active_request const& request, step_context const& step)
{
    if (!request.is_engine || request.team.value().empty() || request.precedes_others)
        return share_status::within_share;
    return dispatch::share_status_of(account_of(request, step));
}

admission_terms dispatch_reducer::terms_for(active_request const& request, step_context const& step)
{
    if (!request.is_engine)
        return plain_terms(request.objective, m_options.policy);
    return terms_of(share_status_of(request, step), account_of(request, step), request.objective,
        m_board.scarcity_of(request.pool), m_options.policy);
}

bool dispatch_reducer::try_to_send(request_number number, active_request& request, step_context& step)
{
    auto const chosen = choose(request, step);
    if (chosen.endpoint == nullptr)
        return false;
    request.last_choice = chosen.endpoint->entry.name;
    request.last_running = chosen.endpoint->total_running();
    request.last_redundant_prefill = chosen.redundant_prefill;
    request.expected_ms = chosen.expected_ms;
    if (!chosen.is_in_time)
        return false;
    // The request waits, because another engine has cached much of the prompt and may have free capacity soon.
    if (chosen.redundant_prefill > max_redundant_prefill
        && step.now - request.arrived < terms_for(request, step).patience)
        return false;
    send(number, request, chosen, step);
    return true;
}

void dispatch_reducer::send(
    request_number number, active_request& request, endpoint_choice const& chosen, step_context& step)
{
    auto& endpoint = *chosen.endpoint;
    if (request.attempt == attempt_number())
        step.effects.emplace_back(timer_event { timer_kind::wait, request.pool, step.now - request.arrived });
    request.state = phase::running;
    request.is_failure_withheld = false;
    request.attempt = attempt_number(request.attempt.value() + 1);
    request.endpoint = endpoint.entry.name;
    request.tried_endpoints.push_back(request.endpoint);
    request.sent_at = step.now;
    request.expected_ms = chosen.expected_ms;
    request.instance = endpoint.key;
    request.software = endpoint.software;
    request.overdue_counted_until = {};
    request.has_requested_backoff = false;
    begin_trial(request, step);
    request.run = m_board.record_attempt(chosen, request.is_engine, step.now);
    if (endpoint.health.is_ejected())
        endpoint.health.record_probe_sent();
    for (std::size_t index = 0; request.is_engine && index + 1 < request.cost.parts.size(); ++index)
        record_sent_part({ endpoint.key, request.cost.parts[index].id }, step);
    if (request.charged == 0 && !request.team.value().empty() && request.is_engine) {
        request.charged = request.cost.weighted();
        m_ledger.charge(request.account, step.now, request.charged);
    }
    auto const silence = request.has_answer_begun ? request.pause_objective * silence_limit_pauses
                                                  : request.objective * silence_limit_objectives;
    send_attempt sent;
    sent.request = number;
    sent.attempt = request.attempt;
    sent.endpoint = request.endpoint;
    sent.instance = request.instance;
    sent.address = endpoint.entry.address;
    sent.team = request.team;
    sent.form = request.form;
    sent.time_left = std::max(request.deadline - step.now, milliseconds(1));
    sent.connection = request.retry == retry_mode::never ? connection_choice::fresh : connection_choice::any;
    sent.silence_limit = std::max(silence, min_silence_limit);
    step.effects.emplace_back(std::move(sent));
    log_fields fields;
    fields.add("id", request.caller_id).add("attempt", request.attempt.value());
    if (request.resumption)
        fields.add("resumed_request", shorten(request.resumption->first_request));
    if (request.has_answer_begun)
        fields.add("resumes_after_events", request.events_forwarded);
    step.effects.emplace_back(log_line { severity::debug, "sent",
        fields.add("endpoint", request.endpoint.value())
            .add("version", shorten(endpoint.entry.version))
            .add("team", request.team.value())
            .add("unread_ms", request.unread_time.count())
            .add("waited_ms", (step.now - request.arrived).count())
            .add("left_ms", (request.deadline - step.now).count())
            .add("list_age_ms", (step.now - m_list_confirmed_at).count())
            .add("level", m_ledger.level(request.account, step.now))
            .add("share", m_ledger.share())
            .add("even_level", m_ledger.even_level())
            .add("running", endpoint.total_running())
            .add("cold", endpoint.cold.is_cold(step.now) ? 1 : 0)
            .add("unkept", chosen.uncached_tokens)
            .add("ahead_ms", static_cast<std::int64_t>(request.run.estimate.queue_ms))
            .add("tokens_per_ms", static_cast<std::int64_t>(endpoint.prefill_rate.tokens_per_ms()))
            .add("held", endpoint.total_kv_tokens())
            .add("lost", chosen.redundant_prefill)
            .add("prompt", request.cost.prompt)
            .add("part", request.cost.parts.size() < 2 ? 0 : request.cost.parts[request.cost.parts.size() - 2].id)
            .add("expected_ms", static_cast<std::int64_t>(chosen.expected_ms))
            .add("revision", m_routes.current().revision)
            .take() });
}

void dispatch_reducer::serve_waiting_throttled(step_context& step)
{
    if (m_waiting.empty())
        return;
    if (m_waiting.size() <= few_waiting || step.now - m_waiting_served_at >= min_serving_interval)
        serve_waiting(step);
}

void dispatch_reducer::serve_waiting(step_context& step)
{
    if (awaits_list(step.now))
        return;
    m_waiting_served_at = step.now;
    struct candidate {
        request_number number;
        bool is_after_others;
        std::uint32_t priority;
        token_count level;
    };
    std::vector<candidate> order;
    order.reserve(m_waiting.size());
    for (auto const number : m_waiting) {
        auto const& request = m_requests.at(number);
        order.push_back(
            { number, !request.precedes_others, request.priority, m_ledger.level(request.account, step.now) });
    }
    std::ranges::stable_sort(order, {},
        [](candidate const& entry) { return std::tuple(entry.is_after_others, entry.priority, entry.level); });
    std::size_t failed_choices = 0;
    for (auto const& entry : order) {
        auto& request = m_requests.at(entry.number);
        if (failed_choices < max_failed_choices && try_to_send(entry.number, request, step)) {
            std::erase(m_waiting, entry.number);
            continue;
        }
        ++failed_choices;
        if (step.now - request.arrived >= terms_for(request, step).max_wait)
            end_wait(entry.number, request, step);
    }
}

void dispatch_reducer::end_wait(request_number number, active_request& request, step_context& step)
{
    std::erase(m_waiting, number);
    // A retry is sent to any endpoint rather than refused, because its caller would get only the failure or silence of
    // the first attempt.
    if (request.reached_endpoints > 0) {
        if (auto const chosen = choose(request, step); chosen.endpoint != nullptr)
            return send(number, request, chosen, step);
    }
    auto const reason = reason_for_no_endpoint(request, step);
    if (request.is_failure_withheld)
        return forward_failure(number, request, reason, step);
    if (request.has_answer_begun || request.may_have_run)
        return end_failed(number, request, reason, step);
    auto const status
        = reason == refusal_reason::no_place && request.is_engine ? status_too_many_requests : status_unavailable;
    refuse(number, request, status, reason, step);
}

refusal_reason dispatch_reducer::reason_for_no_endpoint(active_request const& request, step_context const& step) const
{
    switch (suspicion_of(request, step)) {
    case suspicion::quarantined:
        return refusal_reason::crashes_endpoints;
    case suspicion::waits_for_trial:
        return refusal_reason::awaits_trial;
    case suspicion::none:
        break;
    }
    if (m_board.all_backed_off_for(request.pool, request.constraints, step.now))
        return refusal_reason::endpoints_resting;
    if (m_board.has_endpoints(request.pool, request.constraints))
        return refusal_reason::no_place;
    if (m_board.is_evacuated(request.pool, request.constraints))
        return refusal_reason::domains_evacuated;
    if (m_board.has_endpoints(request.pool, { request.constraints.regions }))
        return refusal_reason::no_matching_version;
    return m_board.has_endpoints(request.pool) ? refusal_reason::no_allowed_region : refusal_reason::no_endpoint;
}

bool dispatch_reducer::cannot_be_served(active_request const& request, step_context const& step)
{
    if (suspicion_of(request, step) == suspicion::quarantined)
        return true;
    if (auto const backoff = m_board.all_backed_off_for(request.pool, request.constraints, step.now))
        return step.now + *backoff > request.arrived + terms_for(request, step).max_wait;
    return !m_board.has_endpoints(request.pool, request.constraints);
}

milliseconds dispatch_reducer::retry_delay_for(
    active_request const& request, refusal_reason reason, step_context const& step) const
{
    refused_caller const refused { reason, request.objective, request.deadline - step.now, m_overload.is_overloaded(),
        m_options.policy.early_return,
        m_board.all_backed_off_for(request.pool, request.constraints, step.now).value_or(milliseconds(0)),
        quarantine_left(request, step.now) };
    return retry_delay(refused, step.draw);
}

void dispatch_reducer::refuse_unrouted(
    request_arrived const& arrived, std::uint16_t status, refusal_reason reason, step_context& step)
{
    answer_refusal refused { arrived.request, status, reason, std::nullopt };
    if (status == status_unavailable)
        refused.retry_after = default_retry_delay;
    step.effects.emplace_back(refused);
    step.effects.emplace_back(count_event { counter_kind::refusals, name_of(reason) });
    step.effects.emplace_back(log_line { severity::warning, "refused",
        log_fields()
            .add("id", arrived.caller_id)
            .add("status", status)
            .add("reason", name_of(reason))
            .add("host", arrived.host)
            .add("path", arrived.path)
            .add("revision", m_routes.current().revision)
            .take() });
}

} // namespace shedhill::dispatch
