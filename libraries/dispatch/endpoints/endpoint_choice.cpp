// SPDX-License-Identifier: BSD-2-Clause
// The choice of an endpoint. Its score, the foreseen time to the first event from queue, unread prompt and load, is an
// idea of the paper "Cluster continuation controller"; see docs/DESIGN.md.
#include "base/hash.h"
#include "libraries/dispatch/endpoints/endpoint_board.h"
#include "libraries/dispatch/endpoints/pool_scarcity.h"
#include "libraries/dispatch/engines/engine_room.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr double first_service_time_ms = 40;
constexpr double weight_of_the_newest_time = 0.1;
// Far more than endpoints differ by otherwise.
constexpr double suspect_spread_ms = 10000;

std::uint64_t placement_key(request_cost const& cost)
{
    // The last shared part; a prompt of one part is its own.
    return cost.parts.size() < 2 ? 0 : cost.parts[cost.parts.size() - 2].id;
}

double placement_share(std::uint64_t part, endpoint_name const& endpoint)
{
    return unit_share(rendezvous_weight(part, endpoint.value()));
}

} // namespace

void endpoint_board::note_service_time(pool_name const& pool, double took_ms)
{
    auto const [found, _] = m_service_time_ms.try_emplace(pool, first_service_time_ms);
    found->second += weight_of_the_newest_time * (took_ms - found->second);
}

endpoint_board::outlook endpoint_board::outlook_at(
    endpoint_state const& endpoint, choice_request const& wanted, token_count unkept) const
{
    if (wanted.is_engine) {
        auto const told = endpoint.pace.forecast(endpoint.all_unread(), unkept, *wanted.pace);
        auto const likely = endpoint.pace.forecast(unread_before(endpoint, *wanted.unseen), unkept, *wanted.pace);
        return { told.before_ms, told.total_ms(), likely.total_ms() };
    }
    auto const learnt = m_service_time_ms.find(wanted.pool);
    auto const service_time = learnt == m_service_time_ms.end() ? first_service_time_ms : learnt->second;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    auto const running = endpoint.all_running();
    auto const ahead = running < slots ? 0.0 : static_cast<double>(running + 1 - slots) / slots;
    auto const total = service_time * (1 + ahead);
    return { 0, total, total };
}

bool endpoint_board::begins_in_time(outlook const& foreseen, choice_request const& wanted) const
{
    // With nothing before it a request begins as soon as it can, however slow the engine is thought to be; if it were
    // refused for that, no answer would ever correct the belief.
    return foreseen.before_ms <= m_policy.idle_reading_ms
        || foreseen.total_ms <= wanted.time_left_ms * wanted.queueing_part * m_policy.margin_of_objective;
}

bool endpoint_board::is_free(endpoint_state const& endpoint, choice_request const& wanted) const
{
    if (!wanted.is_engine)
        return true;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    if (endpoint.all_running() >= wanted.most_load * slots)
        return false;
    return engine_room { wanted.memory, endpoint.all_held() }.has_room_for(wanted.held, m_policy.memory_filled);
}

bool endpoint_board::ignores_ejection(std::vector<endpoint_state*> const& endpoints, instant now)
{
    std::size_t awake = 0;
    std::size_t ejected = 0;
    for (auto const* state : endpoints) {
        if (state->word.rest.is_resting(now))
            continue;
        ++awake;
        ejected += state->health.is_ejected() ? 1 : 0;
    }
    return ejected * 2 > awake;
}

std::vector<endpoint_board::candidate> const& endpoint_board::candidates_for(choice_request const& wanted, instant now)
{
    auto& found = m_candidates;
    found.clear();
    auto const open = m_open.find(wanted.pool);
    if (open == m_open.end())
        return found;
    bool const uses_ejected = ignores_ejection(open->second, now);
    found.reserve(open->second.size());
    for (auto* state : open->second) {
        if (std::ranges::find(*wanted.excluded, state->entry.name) != wanted.excluded->end())
            continue;
        if (wanted.regions != nullptr && !wanted.regions->allows(state->region))
            continue;
        // Before all else: no rule below may let a request pass to one that rests.
        if (!state->word.rest.may_send(now) || is_held_back_cold(*state, now))
            continue;
        bool const is_probe = state->health.is_ejected() && !uses_ejected;
        if (is_probe && !(wanted.may_probe && state->health.may_probe(now)))
            continue;
        auto const unkept
            = wanted.is_engine ? state->places.unkept_tokens(*wanted.cost, now - m_policy.keeping_time) : 0;
        found.push_back({ state, unkept, is_probe });
    }
    return found;
}

double endpoint_board::cost_of(
    candidate const& weighed, choice_request const& wanted, double expected_ms, std::uint64_t placement) const
{
    if (weighed.is_probe)
        return 0;
    auto const& endpoint = *weighed.endpoint;
    auto const load = static_cast<double>(endpoint.all_running()) / std::max(endpoint.entry.slots, 1U);
    auto cost = expected_ms + m_policy.full_endpoint_ms * load * load;
    if (wanted.is_engine)
        cost += std::lerp(m_policy.idle_reading_weight, m_policy.reading_weight, wanted.scarcity)
                * endpoint.pace.time_of(weighed.unkept)
            + m_policy.spread_of_error * wanted.pace->usual_error_ms() * endpoint.preference;
    if (endpoint.entry.domain != m_own_domain)
        cost += m_policy.other_domain_ms;
    if (wanted.suspect != 0)
        cost += suspect_spread_ms * unit_share(rendezvous_weight(wanted.suspect, endpoint.entry.name.value()));
    if (placement != 0)
        cost += m_policy.placement_spread_ms * placement_share(placement, endpoint.entry.name);
    return cost;
}

endpoint_choice endpoint_board::choose(choice_request wanted, instant now)
{
    auto const& candidates = candidates_for(wanted, now);
    if (wanted.is_engine) {
        wanted.pace = &pace_of(wanted.pool);
        wanted.unseen = &m_unseen[wanted.pool];
        wanted.scarcity = scarcity_of(wanted.pool);
        wanted.memory = m_engines[wanted.pool].memory;
        wanted.held = held_by(*wanted.cost, candidates);
    }
    endpoint_choice best;
    auto const placement = placement_key(*wanted.cost);
    auto least_cost = std::numeric_limits<double>::max();
    std::pair<bool, bool> best_rank { false, false };
    auto least_unkept = std::numeric_limits<token_count>::max();
    pool_scarcity use(m_policy);
    for (auto const& weighed : candidates) {
        auto& endpoint = *weighed.endpoint;
        least_unkept = std::min(least_unkept, weighed.unkept);
        auto const foreseen = outlook_at(endpoint, wanted, weighed.unkept);
        use.add({ endpoint.entry.slots, wanted.memory }, endpoint.own + endpoint.others, foreseen.before_ms);
        bool const has_place = is_free(endpoint, wanted);
        bool const is_quick = wanted.is_engine ? begins_in_time(foreseen, wanted)
                                               : endpoint.answer_time.allows(endpoint.own.running, now);
        std::pair const rank { has_place && is_quick, has_place };
        if (best.endpoint != nullptr && rank < best_rank)
            continue;
        auto const cost = cost_of(weighed, wanted, foreseen.likely_ms, placement);
        if (best.endpoint != nullptr && rank == best_rank && cost >= least_cost)
            continue;
        least_cost = cost;
        best_rank = rank;
        best = { &endpoint, weighed.unkept, foreseen.total_ms, rank.first, 0, wanted.held };
    }
    // What is chosen in a moment may use the pool up: terms never go by a sight older than the last choice.
    if (wanted.is_engine && (wanted.regions == nullptr || !wanted.regions->is_bound()))
        m_scarcity[wanted.pool] = use.scarcity();
    best.lost = best.unkept - std::min(least_unkept, best.unkept);
    return best;
}

token_count endpoint_board::held_by(request_cost const& cost, std::vector<candidate> const& candidates)
{
    if (candidates.empty())
        return cost.prompt + cost.generated;
    token_count unkept = 0;
    for (auto const& weighed : candidates)
        unkept += weighed.unkept;
    return unkept / static_cast<token_count>(candidates.size()) + cost.generated;
}

endpoint_board::occupancy endpoint_board::occupancy_of(pool_name const& pool, instant now) const
{
    occupancy sum;
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return sum;
    bool const uses_ejected = ignores_ejection(found->second, now);
    for (auto const* state : found->second) {
        if (state->word.rest.is_resting(now) || (state->health.is_ejected() && !uses_ejected))
            continue;
        sum.places += state->entry.slots;
        sum.taken += std::min(state->all_running(), state->entry.slots);
    }
    return sum;
}

} // namespace shedhill::dispatch
