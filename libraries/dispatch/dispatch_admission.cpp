// SPDX-License-Identifier: BSD-2-Clause
// From a request's arrival to its being sent: route, team, queue, the choice of an endpoint, and the early refusal.
#include "base/hash.h"
#include "libraries/dispatch/admission/return_time.h"
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/dispatch/log_fields.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// So little to be read anew is not worth a wait for the endpoint that keeps it.
constexpr token_count bearable_loss = 300;
// While so many wait, a team that is ahead is refused at once.
constexpr std::size_t many_waiting = 24;
// A choice costs some microseconds, and a flood has hundreds waiting: who stands far behind is not tried each time.
constexpr std::size_t most_tries_in_vain = 32;
constexpr milliseconds least_serving_interval { 5 };
constexpr std::size_t few_waiting = 8;
constexpr milliseconds least_silence { 1000 };
constexpr std::int64_t silence_objectives = 4;
constexpr std::int64_t silence_pauses = 6;
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_too_large = 413;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t status_unavailable = 503;

} // namespace

void dispatch_reducer::handle(request_arrived const& arrived, step_context& step)
{
    step.effects.emplace_back(count_event { counted::requests, {} });
    if (!m_routes.has_configuration())
        return refuse_unknown(arrived, status_unavailable, refusal_reason::no_configuration, step);
    auto const* route = m_routes.find_route(arrived.host, arrived.path);
    if (route == nullptr)
        return refuse_unknown(arrived, status_not_found, refusal_reason::no_route, step);
    team_settings const* team = nullptr;
    if (!route->is_public && m_routes.current().has_teams) {
        team = m_routes.find_team(arrived.key);
        if (team == nullptr)
            return refuse_unknown(arrived, status_unauthorized, refusal_reason::unknown_key, step);
    }
    auto const* pool = route_table::choose_pool(*route, step.draw);
    if (pool == nullptr)
        return refuse_unknown(arrived, status_unavailable, refusal_reason::no_endpoint, step);
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
    request.repeat = route->repeat;
    request.objective = route->objective;
    request.pause_objective = route->pause_objective;
    request.priority = team != nullptr && team->priority ? *team->priority : route->priority;
    request.most_attempts = std::max(route->most_attempts, 1U);
    request.regions.limit_to(route->allowed_regions);
    if (team != nullptr)
        request.regions.limit_to(team->allowed_regions);
    request.content = arrived.content;
    request.is_engine = pool_declared != nullptr && pool_declared->is_engine();
    request.arrived = step.now;
    auto const caller_time = arrived.time_left.value_or(m_options.default_deadline);
    auto const route_time = route->time_limit.count() > 0 ? route->time_limit : m_options.default_deadline;
    request.deadline = step.now + std::min(caller_time, route_time);
    request.ends_at_route_limit = route_time <= caller_time;
    m_retries.note_request(*pool, step.now);
    if (request.is_engine)
        m_ledger.note_asked(request.account, step.now, request.cost.weighted());
    admit(arrived.request, std::move(request), step);
}

void dispatch_reducer::admit(request_number number, active_request request, step_context& step)
{
    auto& kept = m_requests.insert_or_assign(number, std::move(request)).first->second;
    if (suspicion_of(kept, step) == suspicion::quarantined)
        return refuse(number, kept, status_unavailable, refusal_reason::crashes_endpoints, step);
    if (is_overloaded_for(kept, step))
        return refuse(number, kept, status_unavailable, refusal_reason::router_overloaded, step);
    // It never fits: the caller is told so with a status after which nobody tries again.
    if (kept.is_engine && m_board.is_too_large(kept.pool, kept.cost.prompt))
        return refuse(number, kept, status_too_large, refusal_reason::prompt_too_large, step);
    // No endpoint can take it, and none will while it waits: it is told at once when to come back.
    if (is_in_vain(kept, step))
        return refuse(number, kept, status_unavailable, why_nowhere(kept, step), step);
    // Who waits already goes first, unless the newcomer's team was given less.
    if (m_waiting.empty() && try_to_send(number, kept, step))
        return;
    // A team that is so far ahead that no endpoint may take it, or that is ahead while many wait, is told at once.
    if (terms_for(kept, step).most_load <= 0
        || (m_waiting.size() >= many_waiting && standing_of(kept, step) == team_standing::ahead))
        return refuse(number, kept, status_too_many_requests, refusal_reason::team_over_share, step);
    m_waiting.push_back(number);
    serve_waiting_again(step);
}

bool dispatch_reducer::is_overloaded_for(active_request const& request, step_context const& step)
{
    return request.is_engine && m_overload.refuses(standing_of(request, step), step.draw);
}

endpoint_choice dispatch_reducer::choose(active_request const& request, step_context const& step)
{
    // Every way to an endpoint passes here.
    if (suspicion_of(request, step) != suspicion::none)
        return {};
    ++m_choices;
    choice_request wanted;
    wanted.pool = request.pool;
    wanted.cost = &request.cost;
    wanted.excluded = &request.tried;
    wanted.regions = &request.regions;
    wanted.time_left_ms = static_cast<double>((request.arrived + request.objective - step.now).count());
    wanted.is_engine = request.is_engine;
    auto const terms = terms_for(request, step);
    wanted.most_load = terms.most_load;
    wanted.queueing_part = terms.queueing_part;
    wanted.may_probe = request.repeat != repetition::never && request.most_attempts > 1;
    wanted.suspect = spread_of(request);
    return m_board.choose(wanted, step.now);
}

team_account dispatch_reducer::account_of(active_request const& request, step_context const& step)
{
    return { m_ledger.level(request.account, step.now), m_ledger.share(), m_ledger.even_level() };
}

team_standing dispatch_reducer::standing_of(active_request const& request, step_context const& step)
{
    if (!request.is_engine || request.team.value().empty())
        return team_standing::within_share;
    return dispatch::standing_of(account_of(request, step));
}

admission_terms dispatch_reducer::terms_for(active_request const& request, step_context const& step)
{
    if (!request.is_engine)
        return plain_terms(request.objective, m_options.policy);
    return terms_of(standing_of(request, step), account_of(request, step), request.objective,
        m_board.scarcity_of(request.pool), m_options.policy);
}

bool dispatch_reducer::try_to_send(request_number number, active_request& request, step_context& step)
{
    auto const chosen = choose(request, step);
    if (chosen.endpoint == nullptr)
        return false;
    request.last_choice = chosen.endpoint->entry.name;
    request.last_running = chosen.endpoint->all_running();
    request.last_lost = chosen.lost;
    request.expected_ms = chosen.expected_ms;
    if (!chosen.is_in_time)
        return false;
    // Another endpoint keeps much of the prompt: it may have room soon.
    if (chosen.lost > bearable_loss && step.now - request.arrived < terms_for(request, step).patience)
        return false;
    send(number, request, chosen, step);
    return true;
}

void dispatch_reducer::send(
    request_number number, active_request& request, endpoint_choice const& chosen, step_context& step)
{
    auto& endpoint = *chosen.endpoint;
    if (request.attempt == attempt_number())
        step.effects.emplace_back(time_event { timed::wait, request.pool, step.now - request.arrived });
    request.at = phase::running;
    request.is_failure_kept = false;
    request.attempt = attempt_number(request.attempt.value() + 1);
    request.endpoint = endpoint.entry.name;
    request.tried.push_back(request.endpoint);
    request.sent_at = step.now;
    request.expected_ms = chosen.expected_ms;
    request.start = endpoint.key;
    request.overdue_noted = {};
    request.has_asked_for_rest = false;
    begin_trial(request, step);
    request.run = m_board.note_attempt(chosen, request.is_engine, step.now);
    if (endpoint.health.is_ejected())
        endpoint.health.note_probe_sent();
    for (std::size_t index = 0; request.is_engine && index + 1 < request.cost.parts.size(); ++index)
        note_placed({ endpoint.key, request.cost.parts[index].id }, step);
    if (request.charged == 0 && !request.team.value().empty() && request.is_engine) {
        request.charged = request.cost.weighted();
        m_ledger.charge(request.account, step.now, request.charged);
    }
    auto const silence
        = request.has_answer_begun ? request.pause_objective * silence_pauses : request.objective * silence_objectives;
    send_attempt sent;
    sent.request = number;
    sent.attempt = request.attempt;
    sent.endpoint = request.endpoint;
    sent.start = request.start;
    sent.address = endpoint.entry.address;
    sent.team = request.team;
    sent.form = request.form;
    sent.time_left = std::max(request.deadline - step.now, milliseconds(1));
    sent.connection = request.repeat == repetition::never ? connection_choice::fresh : connection_choice::any;
    sent.silence_limit = std::max(silence, least_silence);
    step.effects.emplace_back(std::move(sent));
    step.effects.emplace_back(log_line { severity::debug, "sent",
        log_fields()
            .add("id", request.caller_id)
            .add("attempt", request.attempt.value())
            .add("endpoint", request.endpoint.value())
            .add("team", request.team.value())
            .add("waited_ms", (step.now - request.arrived).count())
            .add("left_ms", (request.deadline - step.now).count())
            .add("level", m_ledger.level(request.account, step.now))
            .add("share", m_ledger.share())
            .add("even_level", m_ledger.even_level())
            .add("running", endpoint.all_running())
            .add("cold", endpoint.cold.is_cold(step.now) ? 1 : 0)
            .add("unkept", chosen.unkept)
            .add("ahead_ms", static_cast<std::int64_t>(request.run.forecast.before_ms))
            .add("tokens_per_ms", static_cast<std::int64_t>(endpoint.pace.tokens_per_ms()))
            .add("held", endpoint.all_held())
            .add("lost", chosen.lost)
            .add("prompt", request.cost.prompt)
            .add("part", request.cost.parts.size() < 2 ? 0 : request.cost.parts[request.cost.parts.size() - 2].id)
            .add("expected_ms", static_cast<std::int64_t>(chosen.expected_ms))
            .add("revision", m_routes.current().revision)
            .take() });
}

void dispatch_reducer::serve_waiting_again(step_context& step)
{
    if (m_waiting.empty())
        return;
    if (m_waiting.size() <= few_waiting || step.now - m_waiting_served >= least_serving_interval)
        serve_waiting(step);
}

void dispatch_reducer::serve_waiting(step_context& step)
{
    m_waiting_served = step.now;
    struct candidate {
        request_number number;
        std::uint32_t priority;
        token_count level;
    };
    std::vector<candidate> order;
    order.reserve(m_waiting.size());
    for (auto const number : m_waiting) {
        auto const& request = m_requests.at(number);
        order.push_back({ number, request.priority, m_ledger.level(request.account, step.now) });
    }
    std::ranges::stable_sort(order, {}, [](candidate const& entry) { return std::pair(entry.priority, entry.level); });
    std::size_t tried_in_vain = 0;
    for (auto const& entry : order) {
        auto& request = m_requests.at(entry.number);
        if (tried_in_vain < most_tries_in_vain && try_to_send(entry.number, request, step)) {
            std::erase(m_waiting, entry.number);
            continue;
        }
        ++tried_in_vain;
        if (step.now - request.arrived >= terms_for(request, step).longest_wait)
            end_of_wait(entry.number, request, step);
    }
}

void dispatch_reducer::end_of_wait(request_number number, active_request& request, step_context& step)
{
    std::erase(m_waiting, number);
    // A repeat is not refused: the endpoint's own failure, or silence, would be all that its caller gets.
    if (request.arrivals > 0) {
        if (auto const chosen = choose(request, step); chosen.endpoint != nullptr)
            return send(number, request, chosen, step);
    }
    auto const reason = why_nowhere(request, step);
    if (request.is_failure_kept)
        return pass_failure(number, request, reason, step);
    if (request.has_answer_begun || request.may_have_run)
        return finish_failed(number, request, reason, step);
    auto const status
        = reason == refusal_reason::no_place && request.is_engine ? status_too_many_requests : status_unavailable;
    refuse(number, request, status, reason, step);
}

refusal_reason dispatch_reducer::why_nowhere(active_request const& request, step_context const& step) const
{
    switch (suspicion_of(request, step)) {
    case suspicion::quarantined:
        return refusal_reason::crashes_endpoints;
    case suspicion::waits_for_trial:
        return refusal_reason::awaits_trial;
    case suspicion::none:
        break;
    }
    if (m_board.all_rest_for(request.pool, request.regions, step.now))
        return refusal_reason::endpoints_resting;
    if (m_board.has_endpoints(request.pool, request.regions))
        return refusal_reason::no_place;
    if (m_board.is_evacuated(request.pool, request.regions))
        return refusal_reason::domains_evacuated;
    return m_board.has_endpoints(request.pool) ? refusal_reason::no_allowed_region : refusal_reason::no_endpoint;
}

bool dispatch_reducer::is_in_vain(active_request const& request, step_context const& step)
{
    if (suspicion_of(request, step) == suspicion::quarantined)
        return true;
    if (auto const rest = m_board.all_rest_for(request.pool, request.regions, step.now))
        return step.now + *rest > request.arrived + terms_for(request, step).longest_wait;
    return !m_board.has_endpoints(request.pool, request.regions);
}

milliseconds dispatch_reducer::come_back_after(
    active_request const& request, refusal_reason reason, step_context const& step) const
{
    refused_caller const refused { reason, request.objective, request.deadline - step.now, m_overload.is_aside(),
        m_options.policy.early_return,
        m_board.all_rest_for(request.pool, request.regions, step.now).value_or(milliseconds(0)),
        m_suspects.quarantine_left(identity_of(request), step.now) };
    return return_time(refused, step.draw);
}

void dispatch_reducer::refuse_unknown(
    request_arrived const& arrived, std::uint16_t status, refusal_reason reason, step_context& step)
{
    answer_refusal refused { arrived.request, status, reason, std::nullopt };
    if (status == status_unavailable)
        refused.retry_after = least_return;
    step.effects.emplace_back(refused);
    step.effects.emplace_back(count_event { counted::refusals, name_of(reason) });
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
