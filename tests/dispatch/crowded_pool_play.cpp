// SPDX-License-Identifier: BSD-2-Clause
// An agenda of actions by time.
#include "tests/dispatch/crowded_pool_play.h"

#include <cmath>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds hop { 1 };
constexpr std::int64_t objectives_to_the_deadline = 10;
constexpr milliseconds tick_interval { 10 };
constexpr milliseconds report_interval { 100 };
constexpr milliseconds warm_up { 4000 };

std::string key_of_team(std::size_t index) { return "key-" + std::to_string(index); }

std::string name_of_endpoint(std::size_t index) { return "e" + std::to_string(index); }

} // namespace

crowded_pool_play::crowded_pool_play(crowded_pool_load const& load)
    : m_load(load)
    , m_random(load.seed)
    , m_endpoints(load.endpoints)
{
    auto configuration = dispatch_driver::usual_configuration();
    for (auto& route : configuration.routes) {
        route.objective = load.objective;
        route.time_limit = load.objective * objectives_to_the_deadline;
        route.max_attempts = 1;
    }
    std::vector<double> asked_for;
    for (std::size_t rank = 1; rank <= load.shared_parts; ++rank)
        asked_for.push_back(1 / std::pow(static_cast<double>(rank), load.skew));
    m_parts = std::discrete_distribution<std::size_t>(asked_for.begin(), asked_for.end());
    configuration.limits.tokens_per_second = load.tokens_per_second;
    configuration.teams.clear();
    for (std::size_t index = 0; index < load.teams.size(); ++index)
        configuration.teams.push_back({ team_name("team-" + std::to_string(index)), { key_of_team(index) }, {} });
    auto const seconds = static_cast<std::size_t>(load.lasts / std::chrono::seconds(1));
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
        step(index, configuration_received { configuration });
        step(index, endpoints_listed { entries });
    }
}

crowded_pool_outcome crowded_pool_play::play()
{
    m_from = m_now + warm_up;
    m_until = m_from + m_load.lasts;
    for (std::size_t index = 0; index < m_routers.size(); ++index)
        at(m_now + milliseconds(static_cast<std::int64_t>(index) % tick_interval.count()),
            [this, index] { step(index, tick {}); });
    tell();
    ask_next();
    while (!m_agenda.empty() && m_agenda.begin()->first <= m_until + milliseconds(2000)) {
        auto const next = m_agenda.begin();
        m_now = next->first;
        auto const action = std::move(next->second);
        m_agenda.erase(next);
        action();
    }
    auto const lanes = m_load.endpoints * (m_load.kind == pool_kind::plain ? m_load.slots : 1);
    for (auto const& engine : m_endpoints) {
        m_outcome.read += engine.read;
        m_outcome.read_by_busiest = std::max(m_outcome.read_by_busiest, engine.read);
    }
    std::ranges::sort(m_outcome.stood);
    m_outcome.used = m_worked_ms / (static_cast<double>(m_load.lasts.count()) * static_cast<double>(lanes));
    return m_outcome;
}

void crowded_pool_play::step(std::size_t router, event_body body)
{
    if (std::holds_alternative<tick>(body) && m_now < m_until + milliseconds(1500))
        at(m_now + tick_interval, [this, router] { step(router, tick {}); });
    auto const effects = m_routers.at(router)->reduce({ m_now, m_random(), std::move(body) });
    for (auto const& effect : effects)
        carry_out(router, effect);
}

void crowded_pool_play::carry_out(std::size_t router, effect const& wanted)
{
    if (auto const* sent = std::get_if<send_attempt>(&wanted)) {
        auto const endpoint = static_cast<std::size_t>(std::stoul(sent->endpoint.value().substr(1)));
        at(m_now + hop,
            [this, endpoint, key = attempt_key { router, sent->request, sent->attempt }] { arrive_at(endpoint, key); });
    } else if (auto const* refused = std::get_if<answer_refusal>(&wanted)) {
        auto const found = m_calls.find({ router, refused->request });
        auto returning = found->second;
        m_calls.erase(found);
        second_of(returning.team).is_hurt = true;
        if (returning.has_returned || !refused->retry_after) {
            m_outcome.unserved += returning.first_asked >= m_from && returning.first_asked < m_until ? 1 : 0;
            return;
        }
        returning.has_returned = true;
        at(m_now + *refused->retry_after + hop, [this, returning] { ask(returning); });
    }
}

void crowded_pool_play::arrive_at(std::size_t endpoint, attempt_key const& attempt)
{
    if (m_load.kind == pool_kind::engine)
        return read_prompt(endpoint, attempt);
    auto& reached = m_endpoints.at(endpoint);
    if (reached.working < m_load.slots)
        return work(endpoint, attempt);
    if (reached.waiting.size() >= m_load.queue) {
        ++m_outcome.turned_away;
        at(m_now + hop, [this, attempt] { end(attempt, attempt_end::not_run, 503); });
        return;
    }
    reached.waiting.push_back(attempt);
}

void crowded_pool_play::read_prompt(std::size_t endpoint, attempt_key const& attempt)
{
    constexpr milliseconds first_step { 26 };
    auto const found = m_calls.find({ attempt.router, attempt.request });
    if (found == m_calls.end())
        return;
    auto& engine = m_endpoints.at(endpoint);
    auto const speed = m_load.speeds.at(endpoint % m_load.speeds.size());
    auto const part = found->second.part;
    auto const shared = part == 0 ? 0 : m_load.shared_prompt;
    auto const uncached_tokens
        = found->second.prompt + (part == 0 || engine.kept_parts.insert(part).second ? shared : token_count { 0 });
    auto const took = static_cast<double>(uncached_tokens) / (m_load.tokens_per_ms * speed);
    if (m_now >= m_from && m_now < m_until) {
        m_worked_ms += took;
        engine.read += static_cast<double>(uncached_tokens);
        m_outcome.stood.push_back(std::max(engine.read_until - m_now, milliseconds(0)));
    }
    engine.read_until = std::max(engine.read_until, m_now) + milliseconds(static_cast<std::int64_t>(took));
    at(engine.read_until + first_step, [this, attempt] {
        auto const begun = m_calls.find({ attempt.router, attempt.request });
        if (begun == m_calls.end())
            return;
        note_answered(begun->second);
        second_of(begun->second.team).begun += begun->second.prompt;
        step(attempt.router, answer_began { attempt.request, attempt.attempt });
    });
    auto const lasts = milliseconds(static_cast<std::int64_t>(m_load.work_ms));
    at(engine.read_until + first_step + lasts, [this, attempt] { end(attempt, attempt_end::complete, 200); });
}

void crowded_pool_play::note_answered(call const& answered)
{
    if (m_now - answered.first_asked > m_load.objective)
        second_of(answered.team).is_hurt = true;
    if (answered.first_asked >= m_from && answered.first_asked < m_until)
        ++(m_now - answered.first_asked <= m_load.objective ? m_outcome.in_time : m_outcome.late);
}

team_second& crowded_pool_play::second_of(std::size_t team)
{
    auto& seconds = m_outcome.teams.at(team);
    if (m_now < m_from)
        return m_outside;
    auto const second = static_cast<std::size_t>((m_now - m_from) / std::chrono::seconds(1));
    return second < seconds.size() ? seconds.at(second) : m_outside;
}

void crowded_pool_play::work(std::size_t endpoint, attempt_key const& attempt)
{
    ++m_endpoints.at(endpoint).working;
    std::lognormal_distribution<double> spread(-0.125, 0.5);
    auto const took = std::max(m_load.work_ms * spread(m_random), 1.0);
    if (m_now >= m_from && m_now < m_until)
        m_worked_ms += took;
    at(m_now + milliseconds(static_cast<std::int64_t>(took)), [this, endpoint, attempt] {
        leave(endpoint);
        at(m_now + hop, [this, attempt] { end(attempt, attempt_end::complete, 200); });
    });
}

void crowded_pool_play::leave(std::size_t endpoint)
{
    auto& left = m_endpoints.at(endpoint);
    --left.working;
    if (left.waiting.empty())
        return;
    auto const next = left.waiting.front();
    left.waiting.pop_front();
    work(endpoint, next);
}

void crowded_pool_play::ask(call asked)
{
    request_arrived arrived;
    arrived.request = request_number(++m_last_request);
    arrived.host = "host";
    arrived.path = m_load.kind == pool_kind::plain ? "/order/x" : "/once/x";
    arrived.key = key_of_team(asked.team);
    arrived.time_left = m_load.objective * objectives_to_the_deadline - (m_now - asked.first_asked);
    if (m_load.kind == pool_kind::engine) {
        arrived.cost.prompt = asked.prompt;
        // Parts of shared prompts have other names than whole prompts.
        constexpr std::uint64_t shared_names = 1ULL << 40U;
        if (asked.part != 0) {
            arrived.cost.parts.push_back({ shared_names + asked.part, m_load.shared_prompt });
            arrived.cost.prompt += m_load.shared_prompt;
        }
        arrived.cost.parts.push_back({ m_last_request, asked.prompt });
    }
    m_calls.emplace(std::pair(asked.router, arrived.request), asked);
    step(asked.router, std::move(arrived));
}

void crowded_pool_play::ask_next()
{
    if (m_now >= m_until)
        return;
    std::exponential_distribution<double> gap(m_load.calls_per_second / 1000);
    at(m_now + milliseconds(std::llround(gap(m_random))), [this] { ask_next(); });
    if (m_now >= m_from)
        ++m_outcome.asked;
    auto const crowded = std::max<std::size_t>(m_routers.size() / 3, 1);
    std::bernoulli_distribution is_crowded(m_load.uneven_part);
    auto const router = is_crowded(m_random) || crowded == m_routers.size()
        ? m_random() % crowded
        : crowded + m_random() % (m_routers.size() - crowded);
    std::exponential_distribution<double> size(1.0 / static_cast<double>(m_load.prompt));
    auto const prompt = 200 + static_cast<token_count>(size(m_random));
    std::discrete_distribution<std::size_t> team(m_load.teams.begin(), m_load.teams.end());
    auto const asking = m_load.teams.size() > 1 ? team(m_random) : 0;
    second_of(asking).asked += prompt;
    m_outcome.largest = std::max(m_outcome.largest, prompt);
    ask({ router, m_now, false, prompt, asking, draw_part() });
}

std::size_t crowded_pool_play::draw_part()
{
    if (m_load.shared_parts == 0)
        return 0;
    return 1 + m_parts(m_random);
}

void crowded_pool_play::tell()
{
    if (m_now >= m_until + milliseconds(1500))
        return;
    at(m_now + report_interval, [this] { tell(); });
    for (std::size_t teller = 0; teller < m_routers.size(); ++teller) {
        // Not all at the same moment.
        auto const delay = milliseconds(static_cast<std::int64_t>(teller * 37) % report_interval.count());
        at(m_now + delay, [this, teller] {
            auto const report = m_routers.at(teller)->take_own_report(report_scope::changes, m_now);
            at(m_now + hop, [this, teller, report] {
                for (std::size_t other = 0; other < m_routers.size(); ++other) {
                    if (other != teller)
                        step(other, report);
                }
            });
        });
    }
}

void crowded_pool_play::end(attempt_key const& attempt, attempt_end how, std::uint16_t status)
{
    auto const found = m_calls.find({ attempt.router, attempt.request });
    if (found == m_calls.end())
        return;
    if (how == attempt_end::complete) {
        if (m_load.kind == pool_kind::plain)
            note_answered(found->second);
        m_calls.erase(found);
    }
    step(attempt.router,
        attempt_ended { attempt.request, attempt.attempt, how, status, 0, how == attempt_end::complete });
}

} // namespace shedhill::dispatch
