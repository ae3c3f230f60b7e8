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

// Before it was observed.
constexpr double first_read_rate = 90;
constexpr double least_read_rate = 10;
constexpr double most_read_rate = 2000;
// A first event with nothing to read takes this long, and a step for each of its tokens, longer the more run beside it.
constexpr double least_first_event_ms = 22;
constexpr double step_ms = 4;
constexpr double step_ms_per_running = 0.06;
// A prompt of so many tokens, read at once by an engine that had nothing else to read, shows the engine's rate.
constexpr token_count telling_prompt = 2500;
// The part of an error in what was foreseen by which the time of reading is corrected.
constexpr double correction = 0.25;
constexpr double most_correction_ms = 40;
constexpr double first_service_time_ms = 40;
// Reading shared parts anew costs much more than the time until the first event: it holds up all that run there, and
// drives other parts out.
constexpr double weight_of_reading = 4.0;
constexpr double full_endpoint_ms = 40;
constexpr double other_domain_ms = 4;
// Spreads first places of parts over the endpoints, the same way at all routers.
constexpr double placement_spread_ms = 60;
constexpr double margin_of_the_objective = 0.85;
// So little to read never keeps a prompt away, however large it is.
constexpr double always_allowed_wait_ms = 15;
// A router that has just come up is told of parts that were used within this time.
constexpr milliseconds recent_placement { 7000 };
constexpr double weight_of_the_newest_time = 0.1;
constexpr double least_slowness = 0.4;
constexpr double most_slowness = 4;
// The part by which it fades each tenth of a second.
constexpr double slowness_fading = 0.06;

double to_ms(instant now) { return static_cast<double>(now.time_since_epoch().count()); }

std::uint64_t placement_key(request_cost const& cost)
{
    // The last shared part; a prompt of one part is its own.
    return cost.parts.size() < 2 ? 0 : cost.parts[cost.parts.size() - 2].id;
}

double placement_share(std::uint64_t part, endpoint_name const& endpoint)
{
    return static_cast<double>(rendezvous_weight(part, endpoint.value()) >> 11U) * 0x1.0p-53;
}

} // namespace

void endpoint_board::take_list(std::vector<endpoint_entry> const& entries)
{
    m_open.clear();
    std::unordered_set<endpoint_name> listed;
    for (auto const& entry : entries) {
        listed.insert(entry.name);
        auto& state = m_endpoints[entry.name];
        if (!state)
            state = std::make_unique<endpoint_state>();
        state->entry = entry;
        if (!entry.is_draining)
            m_open[entry.pool].push_back(state.get());
    }
    std::erase_if(
        m_endpoints, [&](auto const& known) { return !listed.contains(known.first) && known.second->running == 0; });
}

void endpoint_board::retire(endpoint_name const& name)
{
    auto const found = m_endpoints.find(name);
    if (found == m_endpoints.end())
        return;
    std::erase(m_open[found->second->entry.pool], found->second.get());
}

endpoint_state* endpoint_board::find(endpoint_name const& name)
{
    auto const found = m_endpoints.find(name);
    return found == m_endpoints.end() ? nullptr : found->second.get();
}

bool endpoint_board::has_endpoints(pool_name const& pool) const
{
    auto const found = m_open.find(pool);
    return found != m_open.end() && !found->second.empty();
}

std::size_t endpoint_board::ejected_in(pool_name const& pool) const
{
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return 0;
    return static_cast<std::size_t>(
        std::ranges::count_if(found->second, [](auto const* state) { return state->health.is_ejected(); }));
}

double endpoint_board::read_time(endpoint_state const& endpoint, token_count tokens) const
{
    auto const learnt = m_read_rate.find(endpoint.entry.pool);
    auto const rate = learnt == m_read_rate.end() ? first_read_rate : learnt->second;
    return static_cast<double>(tokens) / rate * endpoint.slowness;
}

double endpoint_board::expected_time(
    endpoint_state const& endpoint, choice_request const& wanted, token_count unkept, instant now) const
{
    if (wanted.is_engine) {
        auto const waiting = std::max(endpoint.read_until_ms - to_ms(now), 0.0);
        auto const step = step_ms + step_ms_per_running * endpoint.all_running();
        auto const first_event = least_first_event_ms + step * wanted.tokens_per_event;
        return waiting + first_event * endpoint.slowness + read_time(endpoint, unkept);
    }
    auto const learnt = m_service_time_ms.find(wanted.pool);
    auto const service_time = learnt == m_service_time_ms.end() ? first_service_time_ms : learnt->second;
    auto const slots = std::max(endpoint.entry.slots, 1U);
    auto const running = endpoint.all_running();
    auto const ahead = running < slots ? 0.0 : static_cast<double>(running + 1 - slots) / slots;
    return service_time * (1 + ahead) * endpoint.slowness;
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
        bool const is_probe = state->health.is_ejected() && !ignores_ejection;
        if (is_probe && !(wanted.may_probe && state->health.may_probe(now)))
            continue;
        auto const unkept = wanted.is_engine ? state->places.unkept_tokens(*wanted.cost, now) : 0;
        least_unkept = std::min(least_unkept, unkept);
        auto const expected = expected_time(*state, wanted, unkept, now);
        auto const slots = std::max(state->entry.slots, 1U);
        auto const load = static_cast<double>(state->all_running()) / slots;
        bool const is_free = !wanted.is_engine || state->all_running() < wanted.most_load * slots;
        bool const is_quick = expected <= wanted.time_left_ms * margin_of_the_objective
            || (wanted.is_engine && state->read_until_ms - to_ms(now) <= always_allowed_wait_ms);
        auto cost = expected + full_endpoint_ms * load * load;
        if (wanted.is_engine)
            cost += weight_of_reading * read_time(*state, unkept);
        if (state->entry.domain != m_own_domain)
            cost += other_domain_ms;
        if (key != 0)
            cost += placement_spread_ms * placement_share(key, state->entry.name);
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

void endpoint_board::note_sent(endpoint_state& endpoint, token_count unkept, instant now)
{
    endpoint.read_until_ms = std::max(endpoint.read_until_ms, to_ms(now)) + read_time(endpoint, unkept);
    endpoint.sent_untold += unkept;
}

void endpoint_board::note_first_event(endpoint_state& endpoint, token_count unkept, double took_ms, double expected_ms)
{
    endpoint.slowness
        *= 1 + weight_of_the_newest_time * std::clamp(took_ms / std::max(expected_ms, 1.0) - 1, -0.5, 1.0);
    endpoint.slowness = std::clamp(endpoint.slowness, least_slowness, most_slowness);
    endpoint.read_until_ms += std::clamp(correction * (took_ms - expected_ms), -most_correction_ms, most_correction_ms);
    auto const reading = took_ms - least_first_event_ms;
    if (unkept < telling_prompt || reading <= 0)
        return;
    // It waited for others too, so this is a lower bound; the estimate forgets upwards quickly and downwards slowly.
    auto& rate = m_read_rate.try_emplace(endpoint.entry.pool, first_read_rate).first->second;
    auto const seen = static_cast<double>(unkept) / reading;
    constexpr double upwards = 0.02;
    constexpr double downwards = 0.002;
    rate += (seen > rate ? upwards : downwards) * (seen - rate);
    rate = std::clamp(rate, least_read_rate, most_read_rate);
}

void endpoint_board::fade_slowness()
{
    for (auto& [name, state] : m_endpoints)
        state->slowness += slowness_fading * (1 - state->slowness);
}

void endpoint_board::take_report(peer_reported const& report, instant now)
{
    forget_peer(report.peer);
    for (auto const& load : report.loads) {
        if (auto* state = find(load.endpoint)) {
            state->others_running += load.running;
            state->read_until_ms = std::max(state->read_until_ms, to_ms(now)) + read_time(*state, load.sent);
        }
    }
    m_reports[report.peer] = report.loads;
    for (auto const& placed : report.parts) {
        if (auto* state = find(placed.endpoint))
            state->places.note(placed.part, now);
    }
}

void endpoint_board::forget_peer(vm_name const& peer)
{
    auto const reported = m_reports.find(peer);
    if (reported == m_reports.end())
        return;
    m_reports.erase(reported);
    for (auto& [name, state] : m_endpoints) {
        state->others_running = 0;
    }
    for (auto const& [other, loads] : m_reports) {
        for (auto const& load : loads) {
            if (auto* state = find(load.endpoint)) {
                state->others_running += load.running;
            }
        }
    }
}

void endpoint_board::forget_old_parts(instant now)
{
    for (auto& [name, state] : m_endpoints)
        state->places.forget_old(now);
}

std::vector<part_placed> endpoint_board::recent_parts(instant now) const
{
    std::vector<part_placed> placed;
    for (auto const& [name, state] : m_endpoints) {
        for (auto const part : state->places.used_since(now - recent_placement))
            placed.push_back({ name, part });
    }
    return placed;
}

std::vector<endpoint_load> endpoint_board::take_own_loads()
{
    std::vector<endpoint_load> loads;
    for (auto const& [name, state] : m_endpoints) {
        auto const sent = std::exchange(state->sent_untold, 0);
        if (state->running > 0 || sent > 0)
            loads.push_back({ name, state->running, sent });
    }
    return loads;
}

} // namespace shedhill::dispatch
