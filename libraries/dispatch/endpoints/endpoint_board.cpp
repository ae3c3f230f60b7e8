// SPDX-License-Identifier: BSD-2-Clause
// The list, the loads and what first events show. The choice stands in endpoint_choice.cpp.
#include "libraries/dispatch/endpoints/endpoint_board.h"

#include "base/hash.h"
#include "libraries/dispatch/endpoints/pool_scarcity.h"
#include "libraries/dispatch/engines/engine_room.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

namespace shedhill::dispatch {

namespace {

// A router that has just come up is told of parts that were used within this time.
constexpr milliseconds recent_placement { 7000 };

// A whole report names each endpoint where something is under way, one of changes what is not as it was told.
bool is_worth_telling(told_load const& told, engine_work const& work, report_scope scope)
{
    bool const has_changed = !told.untold.is_empty() || work != told.work;
    return scope == report_scope::whole ? work.running > 0 || has_changed : has_changed;
}

bool has_any_in(std::vector<endpoint_state*> const& endpoints, region_bound const& regions)
{
    return std::ranges::any_of(endpoints, [&](endpoint_state const* state) { return regions.allows(state->region); });
}

} // namespace

void endpoint_board::take_pools(std::vector<pool_settings> const& pools, token_count tokens_per_second)
{
    m_cold_pools.clear();
    m_engines.clear();
    m_tokens_per_second = tokens_per_second;
    for (auto const& pool : pools) {
        m_cold_pools[pool.name] = { pool.cold_requests_per_second, pool.cold_time };
        if (pool.is_engine())
            m_engines[pool.name] = { pool.tokens_per_event, pool.engine_memory };
    }
    expect_paces();
}

void endpoint_board::expect_paces()
{
    std::size_t engines = 0;
    for (auto const& [pool, engine] : m_engines) {
        if (auto const found = m_open.find(pool); found != m_open.end())
            engines += found->second.size();
    }
    for (auto const& [pool, engine] : m_engines)
        pace_of(pool).expect(m_tokens_per_second, engines, engine.tokens_per_event);
}

pool_pace& endpoint_board::pace_of(pool_name const& pool) { return m_paces[pool]; }

endpoint_board::cold_pool const& endpoint_board::cold_pool_of(pool_name const& pool) const
{
    static cold_pool const unbounded;
    auto const found = m_cold_pools.find(pool);
    return found == m_cold_pools.end() ? unbounded : found->second;
}

bool endpoint_board::is_held_back_cold(endpoint_state& state, instant now)
{
    if (!state.cold.is_cold(now))
        return false;
    auto const per_second = cold_pool_of(state.entry.pool).per_second;
    return per_second > 0 && !state.cold.may_send(m_cold_share.allowance(state.key, per_second, now), now);
}

engine_run endpoint_board::note_attempt(endpoint_choice const& chosen, bool is_engine, instant now)
{
    auto& endpoint = *chosen.endpoint;
    endpoint.answer_time.note_sent(now);
    endpoint.word.rest.note_sent(now);
    if (endpoint.cold.is_cold(now))
        endpoint.cold.note_sent(now);
    engine_run run;
    if (is_engine) {
        auto const& pool = endpoint.entry.pool;
        // By what was told, as admission goes: a pace that is learnt beside what is only likely lets in too much.
        run = endpoint.pace.begin(endpoint.all_unread(), chosen.unkept, chosen.held, pace_of(pool));
        run.sent_at = now;
    }
    endpoint.own += run.work();
    return run;
}

token_count endpoint_board::unread_before(endpoint_state const& engine, unseen_work const& unseen) const
{
    return engine.all_unread() + unseen.tokens(engine.others.running, engine.neighbours.running, m_news_age);
}

void endpoint_board::note_end(endpoint_state& endpoint, engine_run const& run, run_end end, instant now)
{
    endpoint.own -= run.work();
    if (run.sent_at != instant {})
        m_unseen[endpoint.entry.pool].note_stay(run.unkept, now - run.sent_at, now);
    if (end == run_end::done || run.work().unread == 0)
        return;
    auto const foreseen = milliseconds(static_cast<std::int64_t>(run.forecast.total_ms()));
    endpoint.failed.push_back({ run.work().unread, now + foreseen });
    endpoint.own.unread += run.work().unread;
}

void endpoint_board::forget_failed(endpoint_state& endpoint, instant now)
{
    std::erase_if(endpoint.failed, [&](failed_reading const& failed) {
        if (now < failed.until)
            return false;
        endpoint.own.unread -= std::min(endpoint.own.unread, failed.tokens);
        return true;
    });
}

std::size_t endpoint_board::cold_endpoints(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [now](auto const& known) { return known.second->cold.is_cold(now); }));
}

void endpoint_board::take_list(std::vector<endpoint_entry> const& entries, instant now)
{
    m_open.clear();
    m_held_back.clear();
    std::unordered_set<endpoint_key> listed;
    for (auto const& entry : entries) {
        auto const key = key_of(entry.name, entry.started_at_ms);
        listed.insert(key);
        auto& state = m_endpoints[key];
        bool const is_new = !state;
        if (is_new) {
            state = std::make_unique<endpoint_state>();
            state->key = key;
            recall_word(*state);
            state->answer_time.begin_with(entry.slots);
            state->preference = unit_share(rendezvous_weight(m_self, entry.name.value()));
            state->pace.update(pace_of(entry.pool), now);
        }
        m_by_name[entry.name] = state.get();
        if (is_new || entry.cold_time_left != state->entry.cold_time_left)
            state->cold.note_told(entry.cold_time_left, now);
        // What comes up while this router looks on has just started, whatever its first row tells.
        if (is_new && m_has_list)
            state->cold.note_unknown(cold_pool_of(entry.pool).usual, now);
        state->entry = entry;
        auto const region = m_regions.find(entry.domain);
        state->region = region == m_regions.end() ? region_name() : region->second;
        if (!entry.is_draining && !state->word.is_leaving)
            open(*state);
    }
    m_has_list = true;
    std::erase_if(m_endpoints, [&](auto const& known) {
        bool const is_gone = !listed.contains(known.first) && known.second->own.running == 0;
        if (is_gone) {
            keep_word(*known.second, now);
            forget_name(*known.second);
        }
        return is_gone;
    });
    forget_old_words(now);
    expect_paces();
}

void endpoint_board::forget_name(endpoint_state const& state)
{
    auto const found = m_by_name.find(state.entry.name);
    if (found != m_by_name.end() && found->second == &state)
        m_by_name.erase(found);
}

void endpoint_board::open(endpoint_state& state)
{
    auto& endpoints = m_evacuated.contains(state.entry.domain) ? m_held_back : m_open;
    endpoints[state.entry.pool].push_back(&state);
}

void endpoint_board::set_evacuated(std::vector<failure_domain> const& domains, instant now)
{
    auto const before = std::exchange(m_evacuated, { domains.begin(), domains.end() });
    for (auto& [name, state] : m_endpoints) {
        if (before.contains(state->entry.domain) && !m_evacuated.contains(state->entry.domain))
            state->cold.note_unknown(cold_pool_of(state->entry.pool).usual, now);
    }
    auto const open_before = std::exchange(m_open, {});
    auto const held_before = std::exchange(m_held_back, {});
    for (auto const* opened : { &open_before, &held_before }) {
        for (auto const& [pool, endpoints] : *opened) {
            for (auto* state : endpoints)
                open(*state);
        }
    }
}

void endpoint_board::retire(endpoint_name const& name)
{
    if (auto* const state = find(name))
        close(*state);
}

void endpoint_board::close(endpoint_state& state)
{
    std::erase(m_open[state.entry.pool], &state);
    std::erase(m_held_back[state.entry.pool], &state);
}

endpoint_state* endpoint_board::find(endpoint_name const& name)
{
    auto const found = m_by_name.find(name);
    return found == m_by_name.end() ? nullptr : found->second;
}

endpoint_state* endpoint_board::find(endpoint_key key)
{
    auto const found = m_endpoints.find(key);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

bool endpoint_board::has_endpoints(pool_name const& pool, region_bound const& regions) const
{
    auto const found = m_open.find(pool);
    return found != m_open.end() && has_any_in(found->second, regions);
}

std::size_t endpoint_board::endpoints_in(failure_domain const& domain) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [&](auto const& known) { return known.second->entry.domain == domain; }));
}

bool endpoint_board::is_evacuated(pool_name const& pool, region_bound const& regions) const
{
    auto const found = m_held_back.find(pool);
    return found != m_held_back.end() && has_any_in(found->second, regions) && !has_endpoints(pool, regions);
}

void endpoint_board::note_seen(endpoint_state& endpoint, reading_evidence const& seen, instant now)
{
    auto& pool = pace_of(endpoint.entry.pool);
    pool.add(seen, now);
    endpoint.pace.add(seen, now);
    endpoint.own_told.untold += seen;
    endpoint.domain_told.untold += seen;
}

void endpoint_board::note_begun(endpoint_state& endpoint, engine_run& run)
{
    endpoint.own.unread -= std::min(endpoint.own.unread, run.unkept);
    run.has_first_event = true;
}

void endpoint_board::note_first_event(endpoint_state& endpoint, engine_run& run, double took_ms, instant now)
{
    note_begun(endpoint, run);
    note_seen(endpoint, engine_pace::seen_in(run, took_ms), now);
    endpoint.pace.update(pace_of(endpoint.entry.pool), now);
    auto const& foreseen = run.forecast;
    auto const bare_part = 1 - foreseen.reading_part();
    auto const error = 1 + (took_ms - foreseen.total_ms()) * bare_part / std::max(foreseen.bare_ms, 1.0);
    auto& pool = pace_of(endpoint.entry.pool);
    pool.note_error(took_ms - foreseen.total_ms());
    pool.note_bare_first_event(pool.bare_first_event_ms() * error, bare_part);
}

void endpoint_board::note_overdue(endpoint_state& endpoint, engine_run const& run, double late_ms, instant now)
{
    note_seen(endpoint, engine_pace::seen_in_overdue(run, late_ms), now);
}

void endpoint_board::update_paces(instant now)
{
    for (auto& [name, pool] : m_paces)
        pool.update(now);
    for (auto& [key, state] : m_endpoints) {
        forget_failed(*state, now);
        if (auto const pool = m_paces.find(state->entry.pool); pool != m_paces.end())
            state->pace.update(pool->second, now);
    }
    update_scarcity(now);
}

void endpoint_board::update_scarcity(instant now)
{
    m_scarcity.clear();
    for (auto const& [pool, engine] : m_engines) {
        pool_scarcity use(m_policy);
        if (auto const open = m_open.find(pool); open != m_open.end()) {
            bool const uses_ejected = ignores_ejection(open->second, now);
            for (auto const* state : open->second) {
                if (state->word.rest.is_resting(now) || (state->health.is_ejected() && !uses_ejected))
                    continue;
                use.add({ state->entry.slots, engine.memory }, state->own + state->others,
                    state->pace.forecast(state->all_unread(), 0, pace_of(pool)).before_ms);
            }
        }
        m_scarcity[pool] = use.scarcity();
    }
}

double endpoint_board::scarcity_of(pool_name const& pool) const
{
    auto const found = m_scarcity.find(pool);
    return found == m_scarcity.end() ? 1 : found->second;
}

std::vector<engine_view> endpoint_board::engines() const
{
    std::vector<engine_view> seen;
    for (auto const& [name, state] : m_by_name) {
        auto const engine = m_engines.find(state->entry.pool);
        if (engine == m_engines.end())
            continue;
        seen.push_back({ name, state->entry.pool, state->entry.domain, state->own + state->others,
            engine->second.memory, state->pace.tokens_per_ms() });
    }
    std::ranges::sort(seen, {}, &engine_view::name);
    return seen;
}

std::vector<endpoint_board::pace_change> endpoint_board::take_pace_changes()
{
    // A smaller change is the luck of a second.
    constexpr double material = 2;
    std::vector<pace_change> changes;
    for (auto const& [name, state] : m_by_name) {
        if (!m_engines.contains(state->entry.pool))
            continue;
        auto const now = state->pace.tokens_per_ms();
        auto& told = state->told_tokens_per_ms;
        if (told == 0)
            told = now;
        if (now < told * material && now * material > told)
            continue;
        changes.push_back({ name, std::exchange(told, now), now });
    }
    // Where only some are told, the greatest.
    std::ranges::sort(changes, std::greater {},
        [](pace_change const& change) { return std::abs(std::log(change.now / change.before)); });
    return changes;
}

bool endpoint_board::is_too_large(pool_name const& pool, token_count prompt) const
{
    auto const engine = m_engines.find(pool);
    return engine != m_engines.end() && engine_room { engine->second.memory, 0 }.is_too_small_for(prompt);
}

void endpoint_board::count_work(told_work& told, endpoint_key endpoint, engine_work const& work)
{
    auto const before = std::exchange(told.at[endpoint], work);
    // The endpoint may have gone and come since.
    auto* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->others -= before;
    state->others += work;
    if (told.place != source_place::own_domain)
        return;
    state->neighbours -= before;
    state->neighbours += work;
}

void endpoint_board::take_report(peer_report const& report, source_place place, instant now)
{
    auto const source = report.source();
    if (report.scope == report_scope::whole)
        forget(source);
    auto& told = m_told_work.try_emplace(source, told_work { place, {}, {} }).first->second;
    if (told.told_at != instant {})
        m_news_age.note_gap(now - told.told_at);
    told.told_at = now;
    for (auto const& load : report.loads) {
        auto* const state = find(load.endpoint);
        if (state == nullptr)
            continue;
        count_work(told, load.endpoint, load.work);
        if (load.prefill.is_empty())
            continue;
        auto& pool = pace_of(state->entry.pool);
        pool.add(load.prefill, now);
        state->pace.add(load.prefill, now);
        if (place == source_place::own_domain)
            state->domain_told.untold += load.prefill;
    }
    for (auto const& placed : report.parts) {
        if (auto* state = find(placed.endpoint))
            state->places.note(placed.part, now);
    }
}

void endpoint_board::forget(report_source const& source)
{
    auto const found = m_told_work.find(source);
    if (found == m_told_work.end())
        return;
    auto const endpoints = found->second.at;
    for (auto const& [endpoint, work] : endpoints)
        count_work(found->second, endpoint, {});
    m_told_work.erase(found);
}

void endpoint_board::forget_old_parts(instant now)
{
    for (auto& [name, state] : m_endpoints)
        state->places.forget_unused_since(now - m_policy.keeping_time);
}

std::vector<part_placed> endpoint_board::recent_parts(instant now) const
{
    std::vector<part_placed> placed;
    for (auto const& [name, state] : m_endpoints) {
        for (auto const part : state->places.used_since(now - recent_placement))
            placed.push_back({ state->key, part });
    }
    return placed;
}

std::vector<endpoint_load> endpoint_board::take_own_loads(report_scope scope)
{
    std::vector<endpoint_load> loads;
    for (auto const& [key, state] : m_endpoints) {
        auto const before = std::exchange(state->own_told, { state->own, {} });
        if (is_worth_telling(before, state->own, scope))
            loads.push_back({ key, state->own, before.untold });
    }
    return loads;
}

std::vector<endpoint_load> endpoint_board::take_domain_loads(report_scope scope)
{
    std::vector<endpoint_load> loads;
    for (auto const& [key, state] : m_endpoints) {
        auto const work = state->own + state->neighbours;
        auto const before = std::exchange(state->domain_told, { work, {} });
        if (is_worth_telling(before, work, scope))
            loads.push_back({ key, work, before.untold });
    }
    return loads;
}

void endpoint_board::skip_domain_loads()
{
    for (auto const& [key, state] : m_endpoints)
        state->domain_told = {};
}

} // namespace shedhill::dispatch
