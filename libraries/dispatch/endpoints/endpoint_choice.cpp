// SPDX-License-Identifier: BSD-2-Clause
// Implements the choice of an endpoint. Its score, the estimated time to the first event from queue, pending prefill
// and load, is an idea of the paper "Cluster continuation controller"; see docs/DESIGN.md.
#include "base/hash.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "libraries/dispatch/endpoints/pool_scarcity.h"
#include "libraries/dispatch/engines/engine_headroom.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace shedhill::dispatch {

namespace {

// Assumed answer time of a plain service of which no answer has been measured.
constexpr double first_service_time_ms = 40;
// The weight of the newest answer in the moving average of answer times.
constexpr double newest_weight = 0.1;
// The maximum cost by which a suspected request prefers one endpoint to another. It far exceeds the differences between
// endpoints' other costs.
constexpr double suspect_spread_ms = 10000;
// The cost of an endpoint that has failed the same request before, for the same reason.
constexpr double failed_before_ms = 10000;

std::uint64_t placement_key(request_cost const& cost)
{
    // The last shared part determines the placement; a prompt of a single part shares nothing.
    return cost.parts.size() < 2 ? 0 : cost.parts[cost.parts.size() - 2].id;
}

double placement_share(std::uint64_t part, endpoint_name const& endpoint)
{
    return hash_to_unit_interval(rendezvous_weight(part, endpoint.value()));
}

} // namespace

void endpoint_board::record_service_time(pool_name const& pool, double took_ms)
{
    auto const [found, _] = m_service_time_ms.try_emplace(pool, first_service_time_ms);
    found->second += newest_weight * (took_ms - found->second);
}

endpoint_board::latency_estimate endpoint_board::estimate_latency(
    endpoint_state const& endpoint, choice_request const& request, token_count uncached_tokens) const
{
    if (request.is_engine) {
        auto const reported
            = endpoint.prefill_rate.estimate(endpoint.total_pending_prefill(), uncached_tokens, *request.pool_rate);
        auto const likely = endpoint.prefill_rate.estimate(
            expected_pending_prefill(endpoint, *request.unreported), uncached_tokens, *request.pool_rate);
        return { reported.queue_ms, reported.total_ms(), likely.total_ms() };
    }
    auto const measured = m_service_time_ms.find(request.pool);
    auto const service_time = measured == m_service_time_ms.end() ? first_service_time_ms : measured->second;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    auto const running = endpoint.total_running();
    auto const ahead = running < slots ? 0.0 : static_cast<double>(running + 1 - slots) / slots;
    auto const total = service_time * (1 + ahead);
    return { 0, total, total };
}

bool endpoint_board::starts_in_time(latency_estimate const& expected, choice_request const& request) const
{
    // Without pending prefill before it a request starts as soon as possible, however slow the engine is estimated to
    // be; if it were refused for that, no answer would ever correct the estimate.
    return expected.queue_ms <= m_policy.idle_reading_ms
        || expected.total_ms <= request.time_left_ms * request.queueing_fraction * m_policy.margin_of_objective;
}

bool endpoint_board::has_capacity(endpoint_state const& endpoint, choice_request const& request) const
{
    if (!request.is_engine)
        return true;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    if (endpoint.total_running() >= request.max_load * slots)
        return false;
    return engine_headroom { request.kv_capacity, endpoint.total_kv_tokens() }.has_headroom_for(
        request.kv_tokens, m_policy.memory_filled);
}

bool endpoint_board::ignores_ejection(std::vector<endpoint_state*> const& endpoints, instant now)
{
    std::size_t active = 0;
    std::size_t ejected = 0;
    for (auto const* state : endpoints) {
        if (state->announced.backoff.is_backing_off(now))
            continue;
        ++active;
        ejected += state->health.is_ejected() ? 1 : 0;
    }
    return ejected * 2 > active;
}

std::vector<endpoint_board::candidate> const& endpoint_board::candidates_for(choice_request const& request, instant now)
{
    auto& found = m_candidates;
    found.clear();
    auto const available = m_available.find(request.pool);
    if (available == m_available.end())
        return found;
    bool const includes_ejected = ignores_ejection(available->second, now);
    found.reserve(available->second.size());
    for (auto* state : available->second) {
        if (std::ranges::find(*request.excluded, state->entry.name) != request.excluded->end())
            continue;
        if (request.constraints != nullptr && !request.constraints->allows(state->region, state->software))
            continue;
        if (request.versions != nullptr && !request.versions->may_begin(state->entry.pool, state->software, now))
            continue;
        // This check precedes the rules on ejection, none of which may send a request to an endpoint that is backing
        // off.
        if (!state->announced.backoff.may_send(now) || is_cold_limited(*state, now))
            continue;
        bool const is_probe = state->health.is_ejected() && !includes_ejected;
        if (is_probe && !(request.may_probe && state->health.may_probe(now)))
            continue;
        auto const uncached_tokens = request.is_engine
            ? state->prompt_cache.count_uncached_tokens(*request.cost, now - m_policy.keeping_time)
            : 0;
        found.push_back({ state, uncached_tokens, is_probe });
    }
    return found;
}

double endpoint_board::cost_of(
    candidate const& option, choice_request const& request, double expected_ms, std::uint64_t placement) const
{
    if (option.is_probe)
        return 0;
    auto const& endpoint = *option.endpoint;
    auto const load = static_cast<double>(endpoint.total_running()) / std::max(endpoint.entry.slots, 1U);
    auto cost = expected_ms + m_policy.full_endpoint_ms * load * load;
    if (request.is_engine)
        cost += std::lerp(m_policy.idle_reading_weight, m_policy.reading_weight, request.scarcity)
                * endpoint.prefill_rate.prefill_time_ms(option.uncached_tokens)
            + m_policy.spread_of_error * request.pool_rate->mean_absolute_error_ms() * endpoint.preference;
    if (endpoint.entry.domain != m_own_domain)
        cost += m_policy.other_domain_ms;
    if (request.suspect != 0)
        cost += suspect_spread_ms
            * hash_to_unit_interval(rendezvous_weight(request.suspect, endpoint.entry.name.value()));
    if (request.failed_at == endpoint.key)
        cost += failed_before_ms;
    if (request.spread != 0)
        cost += m_policy.retry_spread_ms
            * hash_to_unit_interval(rendezvous_weight(request.spread, endpoint.entry.name.value()));
    if (placement != 0)
        cost += m_policy.placement_spread_ms * placement_share(placement, endpoint.entry.name);
    return cost;
}

endpoint_choice endpoint_board::choose(choice_request request, instant now)
{
    auto const& candidates = candidates_for(request, now);
    if (request.is_engine) {
        request.pool_rate = &pool_rate_of(request.pool);
        request.unreported = &m_unreported[request.pool];
        request.scarcity = scarcity_of(request.pool);
        request.kv_capacity = m_engines[request.pool].kv_capacity;
        request.kv_tokens = kv_tokens_of(*request.cost, candidates);
    }
    endpoint_choice best;
    auto const placement = placement_key(*request.cost);
    auto min_cost = std::numeric_limits<double>::max();
    std::pair<bool, bool> best_rank { false, false };
    auto min_uncached_tokens = std::numeric_limits<token_count>::max();
    pool_scarcity usage(m_policy);
    for (auto const& option : candidates) {
        auto& endpoint = *option.endpoint;
        min_uncached_tokens = std::min(min_uncached_tokens, option.uncached_tokens);
        auto const expected = estimate_latency(endpoint, request, option.uncached_tokens);
        usage.add({ endpoint.entry.slots, request.kv_capacity }, endpoint.own + endpoint.others, expected.queue_ms);
        bool const fits = has_capacity(endpoint, request);
        bool const is_timely = request.is_engine ? starts_in_time(expected, request)
                                                 : endpoint.answer_time.allows(endpoint.own.running, now);
        std::pair const rank { fits && is_timely, fits };
        if (best.endpoint != nullptr && rank < best_rank)
            continue;
        auto const cost = cost_of(option, request, expected.likely_ms, placement);
        if (best.endpoint != nullptr && rank == best_rank && cost >= min_cost)
            continue;
        min_cost = cost;
        best_rank = rank;
        best = { &endpoint, option.uncached_tokens, expected.total_ms, rank.first, 0, request.kv_tokens };
    }
    // Several choices within a short time may use up the pool, so the scarcity is updated with each choice: admission
    // terms never use a value older than the last choice.
    if (request.is_engine && (request.constraints == nullptr || !request.constraints->is_bound()))
        m_scarcity[request.pool] = usage.scarcity();
    best.redundant_prefill = best.uncached_tokens - std::min(min_uncached_tokens, best.uncached_tokens);
    return best;
}

token_count endpoint_board::kv_tokens_of(request_cost const& cost, std::vector<candidate> const& candidates)
{
    if (candidates.empty())
        return cost.prompt + cost.generated;
    token_count uncached_tokens = 0;
    for (auto const& option : candidates)
        uncached_tokens += option.uncached_tokens;
    return uncached_tokens / static_cast<token_count>(candidates.size()) + cost.generated;
}

endpoint_board::occupancy endpoint_board::occupancy_of(pool_name const& pool, instant now) const
{
    occupancy sum;
    auto const found = m_available.find(pool);
    if (found == m_available.end())
        return sum;
    bool const includes_ejected = ignores_ejection(found->second, now);
    for (auto const* state : found->second) {
        if (state->announced.backoff.is_backing_off(now) || (state->health.is_ejected() && !includes_ejected))
            continue;
        sum.slots += state->entry.slots;
        sum.used_slots += std::min(state->total_running(), state->entry.slots);
    }
    return sum;
}

} // namespace shedhill::dispatch
