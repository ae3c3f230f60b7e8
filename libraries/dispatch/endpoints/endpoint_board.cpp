// SPDX-License-Identifier: BSD-2-Clause
// Implements the list, the loads and learning from first events. endpoint_choice.cpp implements the choice.
#include "libraries/dispatch/endpoints/endpoint_board.h"

#include "base/hash.h"
#include "libraries/dispatch/endpoints/pool_scarcity.h"
#include "libraries/dispatch/engines/engine_headroom.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

namespace shedhill::dispatch {

namespace {

// A router that has just started receives the prompt parts that were used within this time.
constexpr milliseconds recent_use { 7000 };

// Whether the endpoint belongs in the report. A whole report lists each endpoint with work; a report of changes lists
// those that differ from the last report.
bool needs_report(reported_load const& reported, engine_work const& work, report_scope scope)
{
    bool const has_changed = !reported.unsent_sample.is_empty() || work != reported.work;
    return scope == report_scope::whole ? work.running > 0 || has_changed : has_changed;
}

bool has_any(std::vector<endpoint_state*> const& endpoints, endpoint_constraints const& constraints)
{
    return std::ranges::any_of(
        endpoints, [&](endpoint_state const* state) { return constraints.allows(state->region, state->software); });
}

} // namespace

void endpoint_board::apply_pools(std::vector<pool_settings> const& pools, token_count tokens_per_second)
{
    m_cold_pools.clear();
    m_engines.clear();
    m_tokens_per_second = tokens_per_second;
    for (auto const& pool : pools) {
        m_cold_pools[pool.name] = { pool.cold_requests_per_second, pool.cold_time };
        if (pool.is_engine())
            m_engines[pool.name] = { pool.tokens_per_event, pool.engine_kv_capacity };
    }
    update_rate_priors();
}

void endpoint_board::update_rate_priors()
{
    std::size_t engines = 0;
    for (auto const& [pool, engine] : m_engines) {
        if (auto const found = m_available.find(pool); found != m_available.end())
            engines += found->second.size();
    }
    for (auto const& [pool, engine] : m_engines)
        pool_rate_of(pool).set_prior(m_tokens_per_second, engines, engine.tokens_per_event);
}

pool_prefill_rate& endpoint_board::pool_rate_of(pool_name const& pool) { return m_pool_rates[pool]; }

endpoint_board::cold_pool const& endpoint_board::cold_pool_of(pool_name const& pool) const
{
    static cold_pool const unbounded;
    auto const found = m_cold_pools.find(pool);
    return found == m_cold_pools.end() ? unbounded : found->second;
}

bool endpoint_board::is_cold_limited(endpoint_state& state, instant now)
{
    if (!state.cold.is_cold(now))
        return false;
    auto const per_second = cold_pool_of(state.entry.pool).per_second;
    return per_second > 0 && !state.cold.may_send(m_cold_share.allowance(state.key, per_second, now), now);
}

engine_run endpoint_board::record_attempt(endpoint_choice const& chosen, bool is_engine, instant now)
{
    auto& endpoint = *chosen.endpoint;
    endpoint.answer_time.record_sent(now);
    endpoint.announced.backoff.record_sent(now);
    if (endpoint.cold.is_cold(now))
        endpoint.cold.record_sent(now);
    engine_run run;
    if (is_engine) {
        auto const& pool = endpoint.entry.pool;
        // Uses the reported work, as admission does: a rate learned from work that is only likely would admit too much.
        run = endpoint.prefill_rate.start_run(
            endpoint.total_pending_prefill(), chosen.uncached_tokens, chosen.kv_tokens, pool_rate_of(pool));
        run.sent_at = now;
    }
    endpoint.own += run.work();
    return run;
}

token_count endpoint_board::expected_pending_prefill(
    endpoint_state const& engine, unreported_work const& unreported) const
{
    return engine.total_pending_prefill()
        + unreported.tokens(engine.others.running, engine.domain_peers.running, m_report_age);
}

void endpoint_board::record_end(endpoint_state& endpoint, engine_run const& run, run_end end, instant now)
{
    endpoint.own -= run.work();
    if (run.sent_at != instant {})
        m_unreported[endpoint.entry.pool].record_attempt_duration(run.uncached_tokens, now - run.sent_at, now);
    if (end == run_end::done || run.work().pending_prefill == 0)
        return;
    auto const expected = milliseconds(static_cast<std::int64_t>(run.estimate.total_ms()));
    endpoint.failed_prefills.push_back({ run.work().pending_prefill, now + expected });
    endpoint.own.pending_prefill += run.work().pending_prefill;
}

void endpoint_board::forget_failed(endpoint_state& endpoint, instant now)
{
    std::erase_if(endpoint.failed_prefills, [&](failed_prefill const& failed) {
        if (now < failed.until)
            return false;
        endpoint.own.pending_prefill -= std::min(endpoint.own.pending_prefill, failed.tokens);
        return true;
    });
}

std::size_t endpoint_board::cold_endpoints(instant now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [now](auto const& entry) { return entry.second->cold.is_cold(now); }));
}

void endpoint_board::apply_list(std::vector<endpoint_entry> const& entries, instant now)
{
    m_available.clear();
    m_evacuated_endpoints.clear();
    std::unordered_set<endpoint_key> listed;
    for (auto const& entry : entries) {
        auto const key = key_of(entry.name, entry.started_at_ms);
        listed.insert(key);
        auto& state = m_endpoints[key];
        bool const is_new = !state;
        if (is_new) {
            state = std::make_unique<endpoint_state>();
            state->key = key;
            restore_announced_state(*state);
            state->answer_time.initialize(entry.slots);
            state->preference = hash_to_unit_interval(rendezvous_weight(m_self, entry.name.value()));
            state->prefill_rate.update(pool_rate_of(entry.pool), now);
        }
        m_by_name[entry.name] = state.get();
        if (is_new || entry.cold_time_left != state->entry.cold_time_left)
            state->cold.set_announced(entry.cold_time_left, now);
        // An endpoint that appears while this router is running has just started, whatever its first row says.
        if (is_new && m_has_list)
            state->cold.assume_cold(cold_pool_of(entry.pool).cold_time, now);
        if (is_new || entry.version != state->entry.version || entry.pool != state->entry.pool)
            state->software = key_of_software(entry.pool, entry.version);
        state->entry = entry;
        auto const region = m_regions.find(entry.domain);
        state->region = region == m_regions.end() ? region_name() : region->second;
        if (!entry.is_draining && !state->announced.is_leaving)
            add_to_pool(*state);
    }
    m_has_list = true;
    std::erase_if(m_endpoints, [&](auto const& entry) {
        bool const is_gone = !listed.contains(entry.first) && entry.second->own.running == 0;
        if (is_gone) {
            retain_announced_state(*entry.second, now);
            forget_name(*entry.second);
        }
        return is_gone;
    });
    expire_announced_states(now);
    update_rate_priors();
}

std::vector<listed_software> endpoint_board::listed_versions() const
{
    std::vector<listed_software> versions;
    for (auto const& [key, state] : m_endpoints) {
        auto const found = std::ranges::find(versions, state->software, &listed_software::software);
        if (found == versions.end())
            versions.push_back({ state->entry.pool, state->software, 1 });
        else
            ++found->endpoints;
    }
    return versions;
}

void endpoint_board::forget_name(endpoint_state const& state)
{
    auto const found = m_by_name.find(state.entry.name);
    if (found != m_by_name.end() && found->second == &state)
        m_by_name.erase(found);
}

void endpoint_board::add_to_pool(endpoint_state& state)
{
    auto& endpoints = m_evacuated.contains(state.entry.domain) ? m_evacuated_endpoints : m_available;
    endpoints[state.entry.pool].push_back(&state);
}

void endpoint_board::set_evacuated(std::vector<failure_domain> const& domains, instant now)
{
    auto const before = std::exchange(m_evacuated, { domains.begin(), domains.end() });
    for (auto& [name, state] : m_endpoints) {
        if (before.contains(state->entry.domain) && !m_evacuated.contains(state->entry.domain))
            state->cold.assume_cold(cold_pool_of(state->entry.pool).cold_time, now);
    }
    auto const available_before = std::exchange(m_available, {});
    auto const evacuated_before = std::exchange(m_evacuated_endpoints, {});
    for (auto const* pools : { &available_before, &evacuated_before }) {
        for (auto const& [pool, endpoints] : *pools) {
            for (auto* state : endpoints)
                add_to_pool(*state);
        }
    }
}

void endpoint_board::retire(endpoint_name const& name)
{
    if (auto* const state = find(name))
        remove_from_pool(*state);
}

void endpoint_board::remove_from_pool(endpoint_state& state)
{
    std::erase(m_available[state.entry.pool], &state);
    std::erase(m_evacuated_endpoints[state.entry.pool], &state);
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

bool endpoint_board::has_endpoints(pool_name const& pool, endpoint_constraints const& constraints) const
{
    auto const found = m_available.find(pool);
    return found != m_available.end() && has_any(found->second, constraints);
}

std::size_t endpoint_board::endpoints_in(failure_domain const& domain) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [&](auto const& entry) { return entry.second->entry.domain == domain; }));
}

bool endpoint_board::is_evacuated(pool_name const& pool, endpoint_constraints const& constraints) const
{
    auto const found = m_evacuated_endpoints.find(pool);
    return found != m_evacuated_endpoints.end() && has_any(found->second, constraints)
        && !has_endpoints(pool, constraints);
}

void endpoint_board::record_sample(endpoint_state& endpoint, prefill_sample const& sample, instant now)
{
    auto& pool = pool_rate_of(endpoint.entry.pool);
    pool.add(sample, now);
    endpoint.prefill_rate.add(sample, now);
    endpoint.own_reported.unsent_sample += sample;
    endpoint.domain_reported.unsent_sample += sample;
}

void endpoint_board::record_prefill_end(endpoint_state& endpoint, engine_run& run)
{
    endpoint.own.pending_prefill -= std::min(endpoint.own.pending_prefill, run.uncached_tokens);
    run.has_first_event = true;
}

void endpoint_board::record_first_event(endpoint_state& endpoint, engine_run& run, double took_ms, instant now)
{
    record_prefill_end(endpoint, run);
    record_sample(endpoint, engine_prefill_rate::sample_of_first_event(run, took_ms), now);
    endpoint.prefill_rate.update(pool_rate_of(endpoint.entry.pool), now);
    auto const& expected = run.estimate;
    auto const base_fraction = 1 - expected.prefill_fraction();
    auto const error = 1 + (took_ms - expected.total_ms()) * base_fraction / std::max(expected.base_ms, 1.0);
    auto& pool = pool_rate_of(endpoint.entry.pool);
    pool.record_error(took_ms - expected.total_ms());
    pool.record_base_latency(pool.base_latency_ms() * error, base_fraction);
}

void endpoint_board::record_overdue(endpoint_state& endpoint, engine_run const& run, double late_ms, instant now)
{
    record_sample(endpoint, engine_prefill_rate::sample_of_overdue(run, late_ms), now);
}

void endpoint_board::update_rates(instant now)
{
    for (auto& [name, pool] : m_pool_rates)
        pool.update(now);
    for (auto& [key, state] : m_endpoints) {
        forget_failed(*state, now);
        if (auto const pool = m_pool_rates.find(state->entry.pool); pool != m_pool_rates.end())
            state->prefill_rate.update(pool->second, now);
    }
    update_scarcity(now);
}

void endpoint_board::update_scarcity(instant now)
{
    m_scarcity.clear();
    for (auto const& [pool, engine] : m_engines) {
        pool_scarcity usage(m_policy);
        if (auto const available = m_available.find(pool); available != m_available.end()) {
            bool const includes_ejected = ignores_ejection(available->second, now);
            for (auto const* state : available->second) {
                if (state->announced.backoff.is_backing_off(now) || (state->health.is_ejected() && !includes_ejected))
                    continue;
                usage.add({ state->entry.slots, engine.kv_capacity }, state->own + state->others,
                    state->prefill_rate.estimate(state->total_pending_prefill(), 0, pool_rate_of(pool)).queue_ms);
            }
        }
        m_scarcity[pool] = usage.scarcity();
    }
}

double endpoint_board::scarcity_of(pool_name const& pool) const
{
    auto const found = m_scarcity.find(pool);
    return found == m_scarcity.end() ? 1 : found->second;
}

std::vector<engine_view> endpoint_board::engines() const
{
    std::vector<engine_view> views;
    for (auto const& [name, state] : m_by_name) {
        auto const engine = m_engines.find(state->entry.pool);
        if (engine == m_engines.end())
            continue;
        views.push_back({ name, state->entry.pool, state->entry.domain, state->own + state->others,
            engine->second.kv_capacity, state->prefill_rate.tokens_per_ms() });
    }
    std::ranges::sort(views, {}, &engine_view::name);
    return views;
}

std::vector<endpoint_board::rate_change> endpoint_board::take_rate_changes()
{
    // Smaller changes are random variation within a second.
    constexpr double min_factor = 2;
    std::vector<rate_change> changes;
    for (auto const& [name, state] : m_by_name) {
        if (!m_engines.contains(state->entry.pool))
            continue;
        auto const now = state->prefill_rate.tokens_per_ms();
        auto& logged = state->logged_tokens_per_ms;
        if (logged == 0)
            logged = now;
        if (now < logged * min_factor && now * min_factor > logged)
            continue;
        changes.push_back({ name, std::exchange(logged, now), now });
    }
    // Largest change first, for callers that log only some of them.
    std::ranges::sort(changes, std::greater {},
        [](rate_change const& change) { return std::abs(std::log(change.now / change.before)); });
    return changes;
}

bool endpoint_board::is_too_large(pool_name const& pool, token_count prompt) const
{
    auto const engine = m_engines.find(pool);
    return engine != m_engines.end() && engine_headroom { engine->second.kv_capacity, 0 }.is_too_small_for(prompt);
}

void endpoint_board::replace_work(reported_work& reported, endpoint_key endpoint, engine_work const& work)
{
    auto const before = std::exchange(reported.by_endpoint[endpoint], work);
    // The endpoint may have been removed since.
    auto* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->others -= before;
    state->others += work;
    if (reported.origin != report_origin::own_domain)
        return;
    state->domain_peers -= before;
    state->domain_peers += work;
}

void endpoint_board::apply_report(peer_report const& report, report_origin origin, instant now)
{
    auto const source = report.source();
    if (report.scope == report_scope::whole)
        forget(source);
    auto& reported = m_reported_work.try_emplace(source, reported_work { origin, {}, {} }).first->second;
    if (reported.received_at != instant {})
        m_report_age.record_gap(now - reported.received_at);
    reported.received_at = now;
    for (auto const& load : report.loads) {
        auto* const state = find(load.endpoint);
        if (state == nullptr)
            continue;
        replace_work(reported, load.endpoint, load.work);
        if (load.prefill.is_empty())
            continue;
        auto& pool = pool_rate_of(state->entry.pool);
        pool.add(load.prefill, now);
        state->prefill_rate.add(load.prefill, now);
        if (origin == report_origin::own_domain)
            state->domain_reported.unsent_sample += load.prefill;
    }
    for (auto const& cached : report.parts) {
        if (auto* state = find(cached.endpoint))
            state->prompt_cache.record_use(cached.part, now);
    }
}

void endpoint_board::forget(report_source const& source)
{
    auto const found = m_reported_work.find(source);
    if (found == m_reported_work.end())
        return;
    auto const endpoints = found->second.by_endpoint;
    for (auto const& [endpoint, work] : endpoints)
        replace_work(found->second, endpoint, {});
    m_reported_work.erase(found);
}

void endpoint_board::forget_old_parts(instant now)
{
    for (auto& [name, state] : m_endpoints)
        state->prompt_cache.forget_unused_since(now - m_policy.keeping_time);
}

std::vector<cached_part> endpoint_board::recent_parts(instant now) const
{
    std::vector<cached_part> cached;
    for (auto const& [name, state] : m_endpoints) {
        for (auto const part : state->prompt_cache.used_since(now - recent_use))
            cached.push_back({ state->key, part });
    }
    return cached;
}

std::vector<endpoint_load> endpoint_board::take_own_loads(report_scope scope)
{
    std::vector<endpoint_load> loads;
    for (auto const& [key, state] : m_endpoints) {
        auto const before = std::exchange(state->own_reported, { state->own, {} });
        if (needs_report(before, state->own, scope))
            loads.push_back({ key, state->own, before.unsent_sample });
    }
    return loads;
}

std::vector<endpoint_load> endpoint_board::take_domain_loads(report_scope scope)
{
    std::vector<endpoint_load> loads;
    for (auto const& [key, state] : m_endpoints) {
        auto const work = state->own + state->domain_peers;
        auto const before = std::exchange(state->domain_reported, { work, {} });
        if (needs_report(before, work, scope))
            loads.push_back({ key, work, before.unsent_sample });
    }
    return loads;
}

void endpoint_board::skip_domain_loads()
{
    for (auto const& [key, state] : m_endpoints)
        state->domain_reported = {};
}

} // namespace shedhill::dispatch
