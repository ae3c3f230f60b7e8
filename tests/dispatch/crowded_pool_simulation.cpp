// SPDX-License-Identifier: BSD-2-Clause
// Runs scheduled actions in the order of their times.
#include "tests/dispatch/crowded_pool_simulation.h"

#include <cmath>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds network_delay { 1 };
// Time limit of a request, as a multiple of its objective.
constexpr std::int64_t deadline_in_objectives = 10;
constexpr milliseconds tick_interval { 10 };
constexpr milliseconds report_interval { 100 };
constexpr milliseconds warm_up { 4000 };

std::string key_of_team(std::size_t index) { return "key-" + std::to_string(index); }

std::string name_of_endpoint(std::size_t index) { return "e" + std::to_string(index); }

} // namespace

crowded_pool_simulation::crowded_pool_simulation(crowded_pool_load const& load)
    : m_load(load)
    , m_random(load.seed)
    , m_endpoints(load.endpoints)
{
    auto configuration = dispatch_driver::usual_configuration();
    for (auto& route : configuration.routes) {
        route.objective = load.objective;
        route.time_limit = load.objective * deadline_in_objectives;
        route.max_attempts = 1;
    }
    std::vector<double> frequencies;
    for (std::size_t rank = 1; rank <= load.shared_parts; ++rank)
        frequencies.push_back(1 / std::pow(static_cast<double>(rank), load.skew));
    m_parts = std::discrete_distribution<std::size_t>(frequencies.begin(), frequencies.end());
    configuration.limits.tokens_per_second = load.tokens_per_second;
    configuration.teams.clear();
    for (std::size_t index = 0; index < load.teams.size(); ++index)
        configuration.teams.push_back({ team_name("team-" + std::to_string(index)), { key_of_team(index) }, {} });
    auto const seconds = static_cast<std::size_t>(load.duration / std::chrono::seconds(1));
    m_outcome.teams.assign(load.teams.size(), std::vector<team_second>(seconds));
    std::vector<endpoint_entry> entries;
    for (std::size_t index = 0; index < load.endpoints; ++index)
        entries.push_back(dispatch_driver::make_endpoint(
            name_of_endpoint(index), load.kind == pool_kind::plain ? "plain" : "model", load.slots));
    for (std::size_t index = 0; index < load.routers; ++index) {
        auto options = dispatch_driver::options();
        options.policy = load.policy;
        options.vm = vm_name("router-" + std::to_string(index));
        m_routers.push_back(std::make_unique<dispatch_reducer>(options));
        deliver(index, configuration_received { configuration });
        deliver(index, endpoints_listed { entries });
    }
}

crowded_pool_outcome crowded_pool_simulation::run()
{
    m_measured_from = m_now + warm_up;
    m_measured_until = m_measured_from + m_load.duration;
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        schedule(m_now + milliseconds(static_cast<std::int64_t>(index) % tick_interval.count()),
            [this, index] { deliver(index, tick {}); });
    exchange_reports();
    schedule_next_call();
    while (!m_schedule.empty() && m_schedule.begin()->first <= m_measured_until + milliseconds(2000)) {
        auto const next = m_schedule.begin();
        m_now = next->first;
        auto const action = std::move(next->second);
        m_schedule.erase(next);
        action();
    }
    auto const server_count = m_load.endpoints * (m_load.kind == pool_kind::plain ? m_load.slots : 1);
    for (auto const& engine : m_endpoints) {
        m_outcome.prefilled_tokens += engine.prefilled_tokens;
        m_outcome.max_prefilled_tokens = std::max(m_outcome.max_prefilled_tokens, engine.prefilled_tokens);
    }
    std::ranges::sort(m_outcome.queue_times);
    m_outcome.utilisation
        = m_busy_ms / (static_cast<double>(m_load.duration.count()) * static_cast<double>(server_count));
    return m_outcome;
}

void crowded_pool_simulation::deliver(std::size_t router, event_body body)
{
    if (std::holds_alternative<tick>(body) && m_now < m_measured_until + milliseconds(1500))
        schedule(m_now + tick_interval, [this, router] { deliver(router, tick {}); });
    auto const effects = m_routers.at(router)->reduce({ m_now, m_random(), std::move(body) });
    for (auto const& effect : effects)
        apply_effect(router, effect);
}

void crowded_pool_simulation::apply_effect(std::size_t router, effect const& produced)
{
    if (auto const* sent = std::get_if<send_attempt>(&produced)) {
        auto const endpoint = static_cast<std::size_t>(std::stoul(sent->endpoint.value().substr(1)));
        schedule(m_now + network_delay,
            [this, endpoint, key = attempt_key { router, sent->request, sent->attempt }] { arrive_at(endpoint, key); });
    } else if (auto const* refused = std::get_if<answer_refusal>(&produced)) {
        auto const found = m_calls.find({ router, refused->request });
        auto retried = found->second;
        m_calls.erase(found);
        second_of(retried.team).has_missed_objective = true;
        if (retried.has_retried || !refused->retry_after) {
            m_outcome.unserved
                += retried.first_asked_at >= m_measured_from && retried.first_asked_at < m_measured_until ? 1 : 0;
            return;
        }
        retried.has_retried = true;
        schedule(m_now + *refused->retry_after + network_delay, [this, retried] { ask(retried); });
    }
}

void crowded_pool_simulation::arrive_at(std::size_t endpoint, attempt_key const& attempt)
{
    if (m_load.kind == pool_kind::engine)
        return prefill_prompt(endpoint, attempt);
    auto& target = m_endpoints.at(endpoint);
    if (target.running < m_load.slots)
        return start_work(endpoint, attempt);
    if (target.waiting.size() >= m_load.queue_limit) {
        ++m_outcome.rejected_by_endpoints;
        schedule(m_now + network_delay, [this, attempt] { end_attempt(attempt, attempt_end::not_run, 503); });
        return;
    }
    target.waiting.push_back(attempt);
}

void crowded_pool_simulation::prefill_prompt(std::size_t endpoint, attempt_key const& attempt)
{
    constexpr milliseconds first_token_time { 26 };
    auto const found = m_calls.find({ attempt.router, attempt.request });
    if (found == m_calls.end())
        return;
    auto& engine = m_endpoints.at(endpoint);
    auto const speed = m_load.speeds.at(endpoint % m_load.speeds.size());
    auto const part = found->second.part;
    auto const shared = part == 0 ? 0 : m_load.shared_prompt;
    auto const uncached_tokens
        = found->second.prompt + (part == 0 || engine.cached_parts.insert(part).second ? shared : token_count { 0 });
    auto const busy_ms = static_cast<double>(uncached_tokens) / (m_load.tokens_per_ms * speed);
    if (m_now >= m_measured_from && m_now < m_measured_until) {
        m_busy_ms += busy_ms;
        engine.prefilled_tokens += static_cast<double>(uncached_tokens);
        m_outcome.queue_times.push_back(std::max(engine.prefilled_until - m_now, milliseconds(0)));
    }
    engine.prefilled_until = std::max(engine.prefilled_until, m_now) + milliseconds(static_cast<std::int64_t>(busy_ms));
    schedule(engine.prefilled_until + first_token_time, [this, attempt] {
        auto const started_call = m_calls.find({ attempt.router, attempt.request });
        if (started_call == m_calls.end())
            return;
        record_answered(started_call->second);
        second_of(started_call->second.team).started += started_call->second.prompt;
        deliver(attempt.router, answer_began { attempt.request, attempt.attempt });
    });
    auto const duration = milliseconds(static_cast<std::int64_t>(m_load.work_ms));
    schedule(engine.prefilled_until + first_token_time + duration,
        [this, attempt] { end_attempt(attempt, attempt_end::complete, 200); });
}

void crowded_pool_simulation::record_answered(call const& answered)
{
    if (m_now - answered.first_asked_at > m_load.objective)
        second_of(answered.team).has_missed_objective = true;
    if (answered.first_asked_at >= m_measured_from && answered.first_asked_at < m_measured_until)
        ++(m_now - answered.first_asked_at <= m_load.objective ? m_outcome.in_time : m_outcome.late);
}

team_second& crowded_pool_simulation::second_of(std::size_t team)
{
    auto& seconds = m_outcome.teams.at(team);
    if (m_now < m_measured_from)
        return m_unmeasured_second;
    auto const second = static_cast<std::size_t>((m_now - m_measured_from) / std::chrono::seconds(1));
    return second < seconds.size() ? seconds.at(second) : m_unmeasured_second;
}

void crowded_pool_simulation::start_work(std::size_t endpoint, attempt_key const& attempt)
{
    ++m_endpoints.at(endpoint).running;
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    auto const busy_ms = std::max(m_load.work_ms * spread(m_random), 1.0);
    if (m_now >= m_measured_from && m_now < m_measured_until)
        m_busy_ms += busy_ms;
    schedule(m_now + milliseconds(static_cast<std::int64_t>(busy_ms)), [this, endpoint, attempt] {
        finish_work(endpoint);
        schedule(m_now + network_delay, [this, attempt] { end_attempt(attempt, attempt_end::complete, 200); });
    });
}

void crowded_pool_simulation::finish_work(std::size_t endpoint)
{
    auto& target = m_endpoints.at(endpoint);
    --target.running;
    if (target.waiting.empty())
        return;
    auto const next = target.waiting.front();
    target.waiting.pop_front();
    start_work(endpoint, next);
}

void crowded_pool_simulation::ask(call arriving)
{
    request_arrived arrived;
    arrived.request = request_number(++m_last_request);
    arrived.host = "host";
    arrived.path = m_load.kind == pool_kind::plain ? "/order/x" : "/once/x";
    arrived.key = key_of_team(arriving.team);
    arrived.time_left = m_load.objective * deadline_in_objectives - (m_now - arriving.first_asked_at);
    if (m_load.kind == pool_kind::engine) {
        arrived.cost.prompt = arriving.prompt;
        // Keys of shared parts differ from those of the prompts' own parts, which are request numbers.
        constexpr std::uint64_t shared_part_keys = 1ULL << 40U;
        if (arriving.part != 0) {
            arrived.cost.parts.push_back({ shared_part_keys + arriving.part, m_load.shared_prompt });
            arrived.cost.prompt += m_load.shared_prompt;
        }
        arrived.cost.parts.push_back({ m_last_request, arriving.prompt });
    }
    m_calls.emplace(std::pair(arriving.router, arrived.request), arriving);
    deliver(arriving.router, std::move(arrived));
}

void crowded_pool_simulation::schedule_next_call()
{
    if (m_now >= m_measured_until)
        return;
    std::exponential_distribution<double> gap(m_load.calls_per_second / 1000);
    schedule(m_now + milliseconds(std::llround(gap(m_random))), [this] { schedule_next_call(); });
    if (m_now >= m_measured_from)
        ++m_outcome.calls;
    auto const busy_routers = std::max<std::size_t>(m_routers.size() / 3, 1);
    std::bernoulli_distribution is_at_busy_router(m_load.uneven_fraction);
    auto const router = is_at_busy_router(m_random) || busy_routers == m_routers.size()
        ? m_random() % busy_routers
        : busy_routers + m_random() % (m_routers.size() - busy_routers);
    std::exponential_distribution<double> size(1.0 / static_cast<double>(m_load.prompt));
    auto const prompt = 200 + static_cast<token_count>(size(m_random));
    std::discrete_distribution<std::size_t> team(m_load.teams.begin(), m_load.teams.end());
    auto const asking_team = m_load.teams.size() > 1 ? team(m_random) : 0;
    second_of(asking_team).requested += prompt;
    m_outcome.largest_prompt = std::max(m_outcome.largest_prompt, prompt);
    ask({ router, m_now, false, prompt, asking_team, draw_part() });
}

std::size_t crowded_pool_simulation::draw_part()
{
    if (m_load.shared_parts == 0)
        return 0;
    return 1 + m_parts(m_random);
}

void crowded_pool_simulation::exchange_reports()
{
    if (m_now >= m_measured_until + milliseconds(1500))
        return;
    schedule(m_now + report_interval, [this] { exchange_reports(); });
    for (std::size_t sender = 0; sender < m_routers.size(); ++sender) {
        // Spreads the reports over the interval.
        auto const delay = milliseconds(static_cast<std::int64_t>(sender * 37) % report_interval.count());
        schedule(m_now + delay, [this, sender] {
            auto const report = m_routers.at(sender)->take_own_report(report_scope::changes, m_now);
            schedule(m_now + network_delay, [this, sender, report] {
                for (std::size_t other = 0; other < m_routers.size(); ++other) {
                    if (other != sender)
                        deliver(other, report);
                }
            });
        });
    }
}

void crowded_pool_simulation::end_attempt(attempt_key const& attempt, attempt_end how, std::uint16_t status)
{
    auto const found = m_calls.find({ attempt.router, attempt.request });
    if (found == m_calls.end())
        return;
    if (how == attempt_end::complete) {
        if (m_load.kind == pool_kind::plain)
            record_answered(found->second);
        m_calls.erase(found);
    }
    deliver(attempt.router,
        attempt_ended { attempt.request, attempt.attempt, how, status, 0, how == attempt_end::complete });
}

} // namespace shedhill::dispatch
