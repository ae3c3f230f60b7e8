// SPDX-License-Identifier: BSD-2-Clause
// The list, the loads and the choice. The score, foreseen time to the first event from queue, unread prompt and load,
// is an idea of the paper "Cluster continuation controller"; see docs/DESIGN.md.
#include "libraries/dispatch/endpoint_board.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>
#include <utility>

namespace shedhill::dispatch {

namespace {

// Engines of a pool read about as fast as each other: the part by which each moves to the pool's rate in a tenth of a
// second, and that by which the pool's follows what one shows.
constexpr double rate_fading = 0.02;
constexpr double weight_of_one_engines_rate = 0.03;
constexpr double first_read_rate = 90;
// A first event with nothing to read takes this long, and a step for each of its tokens, longer the more run beside it.
constexpr double least_first_event_ms = 22;
constexpr double step_ms = 4;
constexpr double step_ms_per_running = 0.06;
// With so little to read, and as little before it, a first event shows how slow the engine's steps are.
constexpr token_count small_prompt = 2000;
constexpr double small_wait_ms = 60;
constexpr double first_service_time_ms = 40;
// A router that has just come up is told of parts that were used within this time.
constexpr milliseconds recent_placement { 7000 };
constexpr double weight_of_the_newest_time = 0.1;
constexpr double least_slowness = 0.4;
constexpr double most_slowness = 4;
// The part by which it fades each tenth of a second.
constexpr double slowness_fading = 0.06;

std::uint64_t placement_key(request_cost const& cost)
{
    // The last shared part; a prompt of one part is its own.
    return cost.parts.size() < 2 ? 0 : cost.parts[cost.parts.size() - 2].id;
}

double placement_share(std::uint64_t part, endpoint_name const& endpoint)
{
    return static_cast<double>(rendezvous_weight(part, endpoint.value()) >> 11U) * 0x1.0p-53;
}

// A whole report names each endpoint where something is under way, one of changes what is not as it was told.
bool is_worth_telling(told_load const& told, std::uint32_t running, report_scope scope)
{
    if (scope == report_scope::whole)
        return running > 0 || told.sent > 0;
    return told.sent > 0 || told.has_read || running != told.running;
}

} // namespace

void endpoint_board::take_pools(std::vector<pool_settings> const& pools)
{
    m_cold_pools.clear();
    for (auto const& pool : pools)
        m_cold_pools[pool.name] = { pool.cold_per_second, pool.cold_time };
}

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

void endpoint_board::note_attempt(endpoint_state& endpoint, instant now)
{
    ++endpoint.running;
    endpoint.answer_time.note_sent(now);
    if (endpoint.cold.is_cold(now))
        endpoint.cold.note_sent(now);
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
    std::unordered_set<endpoint_name> listed;
    for (auto const& entry : entries) {
        listed.insert(entry.name);
        auto& state = m_endpoints[entry.name];
        bool const is_new = !state;
        if (is_new) {
            state = std::make_unique<endpoint_state>();
            state->key = key_of(entry.name);
            state->answer_time.begin_with(entry.slots);
            m_by_key[state->key] = state.get();
        }
        if (is_new || entry.cold_left != state->entry.cold_left)
            state->cold.note_told(entry.cold_left, now);
        // What comes up while this router looks on has just started, whatever its first row tells.
        if (is_new && m_has_list)
            state->cold.note_unknown(cold_pool_of(entry.pool).usual, now);
        state->entry = entry;
        if (!entry.is_draining)
            open(*state);
    }
    m_has_list = true;
    std::erase_if(m_endpoints, [&](auto const& known) {
        bool const is_gone = !listed.contains(known.first) && known.second->running == 0;
        if (is_gone)
            m_by_key.erase(known.second->key);
        return is_gone;
    });
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
    auto const found = m_endpoints.find(name);
    if (found == m_endpoints.end())
        return;
    std::erase(m_open[found->second->entry.pool], found->second.get());
    std::erase(m_held_back[found->second->entry.pool], found->second.get());
}

endpoint_state* endpoint_board::find(endpoint_name const& name)
{
    auto const found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

endpoint_state* endpoint_board::find(endpoint_key key)
{
    auto const found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : found->second;
}

bool endpoint_board::has_endpoints(pool_name const& pool) const
{
    auto const found = m_open.find(pool);
    return found != m_open.end() && !found->second.empty();
}

std::size_t endpoint_board::endpoints_in(failure_domain const& domain) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_endpoints, [&](auto const& known) { return known.second->entry.domain == domain; }));
}

bool endpoint_board::is_evacuated(pool_name const& pool) const
{
    auto const found = m_held_back.find(pool);
    return found != m_held_back.end() && !found->second.empty() && !has_endpoints(pool);
}

std::size_t endpoint_board::ejected_in(pool_name const& pool) const
{
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(found->second, [](auto const* state) { return state->health.is_ejected(); }));
}

double endpoint_board::first_event_time(endpoint_state const& endpoint, std::uint32_t tokens_per_event)
{
    auto const step = step_ms + step_ms_per_running * endpoint.all_running();
    return (least_first_event_ms + step * tokens_per_event) * endpoint.slowness;
}

double endpoint_board::expected_time(
    endpoint_state const& endpoint, choice_request const& wanted, token_count unkept, instant now) const
{
    if (wanted.is_engine) {
        auto const waiting = endpoint.reading.left_ms(now);
        return waiting + first_event_time(endpoint, wanted.tokens_per_event) + endpoint.reading.time_of(unkept);
    }
    auto const learnt = m_service_time_ms.find(wanted.pool);
    auto const service_time = learnt == m_service_time_ms.end() ? first_service_time_ms : learnt->second;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    auto const running = endpoint.all_running();
    auto const ahead = running < slots ? 0.0 : static_cast<double>(running + 1 - slots) / slots;
    return service_time * (1 + ahead) * endpoint.slowness;
}

bool endpoint_board::begins_in_time(
    endpoint_state const& engine, choice_request const& wanted, double expected_ms, instant now) const
{
    // With nothing before it a request begins as soon as it can, however slow the engine is thought to be; if it were
    // refused for that, no answer would ever correct the belief.
    return engine.reading.left_ms(now) <= m_policy.idle_reading_ms
        || expected_ms <= wanted.time_left_ms * wanted.queueing_part * m_policy.margin_of_objective;
}

endpoint_choice endpoint_board::choose(choice_request const& wanted, instant now)
{
    endpoint_choice best;
    auto const found = m_open.find(wanted.pool);
    if (found == m_open.end())
        return best;
    // Where most are ejected the fault may lie elsewhere, and all are used again.
    auto const ignores_ejection = ejected_in(wanted.pool) * 2 > found->second.size();
    auto const key = placement_key(*wanted.cost);
    auto least_cost = std::numeric_limits<double>::max();
    std::pair<bool, bool> best_rank { false, false };
    auto least_unkept = std::numeric_limits<token_count>::max();
    for (auto* state : found->second) {
        if (std::ranges::find(*wanted.excluded, state->entry.name) != wanted.excluded->end())
            continue;
        if (is_held_back_cold(*state, now))
            continue;
        bool const is_probe = state->health.is_ejected() && !ignores_ejection;
        if (is_probe && !(wanted.may_probe && state->health.may_probe(now)))
            continue;
        auto const unkept
            = wanted.is_engine ? state->places.unkept_tokens(*wanted.cost, now - m_policy.keeping_time) : 0;
        least_unkept = std::min(least_unkept, unkept);
        auto const expected = expected_time(*state, wanted, unkept, now);
        auto const slots = std::max(state->entry.slots, 1U);
        auto const load = static_cast<double>(state->all_running()) / slots;
        bool const is_free = !wanted.is_engine || state->all_running() < wanted.most_load * slots;
        bool const is_quick = wanted.is_engine ? begins_in_time(*state, wanted, expected, now)
                                               : state->answer_time.allows(state->running, now);
        auto cost = expected + m_policy.full_endpoint_ms * load * load;
        if (wanted.is_engine)
            cost += m_policy.reading_weight * state->reading.time_of(unkept);
        if (state->entry.domain != m_own_domain)
            cost += m_policy.other_domain_ms;
        if (key != 0)
            cost += m_policy.placement_spread_ms * placement_share(key, state->entry.name);
        if (is_probe)
            cost = 0;
        std::pair const rank { is_free && is_quick, is_free };
        if (best.endpoint != nullptr && (rank < best_rank || (rank == best_rank && cost >= least_cost)))
            continue;
        least_cost = cost;
        best_rank = rank;
        best = { state, unkept, expected, is_free && is_quick, 0 };
    }
    best.lost = best.unkept - std::min(least_unkept, best.unkept);
    return best;
}

endpoint_board::occupancy endpoint_board::occupancy_of(pool_name const& pool) const
{
    occupancy sum;
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return sum;
    auto const ignores_ejection = ejected_in(pool) * 2 > found->second.size();
    for (auto const* state : found->second) {
        if (state->health.is_ejected() && !ignores_ejection)
            continue;
        sum.places += state->entry.slots;
        sum.taken += std::min(state->all_running(), state->entry.slots);
    }
    return sum;
}

void endpoint_board::note_service_time(pool_name const& pool, double took_ms)
{
    auto const [found, _] = m_service_time_ms.try_emplace(pool, first_service_time_ms);
    found->second += weight_of_the_newest_time * (took_ms - found->second);
}

token_count endpoint_board::note_sent(endpoint_state& endpoint, token_count unkept, instant now)
{
    endpoint.own_told.sent += unkept;
    endpoint.domain_told.sent += unkept;
    return endpoint.reading.note_sent(unkept, now);
}

void endpoint_board::note_first_event(endpoint_state& endpoint, first_event const& seen, instant now)
{
    endpoint.own_told.has_read = true;
    endpoint.domain_told.has_read = true;
    endpoint.domain_read_at = now;
    auto const own_time = first_event_time(endpoint, seen.tokens_per_event);
    auto const shown = endpoint.reading.note_read(seen.read_position, own_time, now);
    if (shown > 0) {
        auto& pool_rate = m_read_rate.try_emplace(endpoint.entry.pool, first_read_rate).first->second;
        pool_rate += weight_of_one_engines_rate * (shown - pool_rate);
    }
    if (seen.unkept > small_prompt || seen.expected_ms > own_time + small_wait_ms)
        return;
    endpoint.slowness
        *= 1 + weight_of_the_newest_time * std::clamp(seen.took_ms / std::max(seen.expected_ms, 1.0) - 1, -0.5, 1.0);
    endpoint.slowness = std::clamp(endpoint.slowness, least_slowness, most_slowness);
}

void endpoint_board::fade_slowness()
{
    for (auto& [name, state] : m_endpoints) {
        state->slowness += slowness_fading * (1 - state->slowness);
        if (auto const rate = m_read_rate.find(state->entry.pool); rate != m_read_rate.end())
            state->reading.move_rate(rate->second, rate_fading);
    }
}

void endpoint_board::count_running(told_running& told, endpoint_key endpoint, std::uint32_t running)
{
    auto const before = std::exchange(told.at[endpoint], running);
    // The endpoint may have gone and come since.
    auto* const state = find(endpoint);
    if (state == nullptr)
        return;
    state->others_running = state->others_running - std::min(state->others_running, before) + running;
    if (told.place == source_place::own_domain)
        state->neighbours_running = state->neighbours_running - std::min(state->neighbours_running, before) + running;
}

void endpoint_board::take_report(peer_reported const& report, source_place place, instant now)
{
    auto const source = report.source();
    if (report.scope == report_scope::whole)
        forget(source);
    auto& told = m_told_running.try_emplace(source, told_running { place, {} }).first->second;
    for (auto const& load : report.loads) {
        auto* const state = find(load.endpoint);
        if (state == nullptr)
            continue;
        count_running(told, load.endpoint, load.running);
        (void)state->reading.note_sent(load.sent, now);
        state->reading.note_told(load.left_to_read_ms, load.read_ago, now);
        if (place == source_place::own_domain) {
            state->domain_told.sent += load.sent;
            state->domain_told.has_read = true;
            state->domain_read_at = std::max(state->domain_read_at, now - load.read_ago);
        }
    }
    for (auto const& placed : report.parts) {
        if (auto* state = find(placed.endpoint))
            state->places.note(placed.part, now);
    }
}

void endpoint_board::forget(report_source const& source)
{
    auto const found = m_told_running.find(source);
    if (found == m_told_running.end())
        return;
    auto const endpoints = found->second.at;
    for (auto const& [endpoint, running] : endpoints)
        count_running(found->second, endpoint, 0);
    m_told_running.erase(found);
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

std::vector<endpoint_load> endpoint_board::take_own_loads(report_scope scope, instant now)
{
    std::vector<endpoint_load> loads;
    for (auto const& [name, state] : m_endpoints) {
        auto const before = std::exchange(state->own_told, { 0, state->running, false });
        if (is_worth_telling(before, state->running, scope))
            loads.push_back({ state->key, state->running, before.sent, state->reading.left_ms(now),
                state->reading.last_read_ago(now) });
    }
    return loads;
}

std::vector<endpoint_load> endpoint_board::take_domain_loads(report_scope scope, instant now)
{
    std::vector<endpoint_load> loads;
    for (auto const& [name, state] : m_endpoints) {
        auto const running = state->running + state->neighbours_running;
        auto const before = std::exchange(state->domain_told, { 0, running, false });
        if (is_worth_telling(before, running, scope))
            loads.push_back(
                { state->key, running, before.sent, state->reading.left_ms(now), now - state->domain_read_at });
    }
    return loads;
}

void endpoint_board::skip_domain_loads()
{
    for (auto const& [name, state] : m_endpoints)
        state->domain_told = {};
}

} // namespace shedhill::dispatch
