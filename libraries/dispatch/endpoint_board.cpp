// SPDX-License-Identifier: BSD-2-Clause
// The list, the loads and the choice. The score, foreseen time to the first event from queue, unread prompt and load,
// is an idea of the paper "Cluster continuation controller"; see docs/DESIGN.md.
#include "libraries/dispatch/endpoint_board.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>

namespace shedhill::dispatch {

namespace {

// Prompt tokens that an engine reads in a millisecond beside its running requests, before it was observed.
constexpr double read_rate_per_ms = 90;
// A first event takes this long with nothing to read.
constexpr double least_first_event_ms = 25;
constexpr double first_service_time_ms = 40;
// Reading shared parts anew costs much more than the time until the first event: it holds up all that run there, and
// drives other parts out.
constexpr double weight_of_reading = 4.0;
constexpr double full_endpoint_ms = 40;
constexpr double other_domain_ms = 4;
// Spreads first places of parts over the endpoints, the same way at all routers.
constexpr double placement_spread_ms = 60;
constexpr double margin_of_the_objective = 0.85;
// Few unread tokens never keep a prompt away, however large it is.
constexpr token_count always_allowed_unread = 1500;
constexpr double weight_of_the_newest_time = 0.1;
constexpr double least_slowness = 0.4;
constexpr double most_slowness = 8;

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

double endpoint_board::expected_time(
    endpoint_state const& endpoint, choice_request const& wanted, token_count unkept) const
{
    if (wanted.is_engine) {
        auto const tokens = static_cast<double>(endpoint.all_unread() + unkept);
        return (least_first_event_ms + tokens / read_rate_per_ms) * endpoint.slowness;
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
    for (auto* state : found->second) {
        if (std::ranges::find(*wanted.excluded, state->entry.name) != wanted.excluded->end())
            continue;
        bool const is_probe = state->health.is_ejected() && !ignores_ejection;
        if (is_probe && !(wanted.may_probe && state->health.may_probe(now)))
            continue;
        auto const unkept = wanted.is_engine ? state->places.unkept_tokens(*wanted.cost, now) : 0;
        auto const expected = expected_time(*state, wanted, unkept);
        auto const slots = std::max(state->entry.slots, 1U);
        auto const load = static_cast<double>(state->all_running()) / slots;
        bool const is_free = !wanted.is_engine || state->all_running() < wanted.most_load * slots;
        bool const is_quick = expected <= wanted.time_left_ms * margin_of_the_objective
            || (wanted.is_engine && state->all_unread() <= always_allowed_unread);
        auto cost = expected + full_endpoint_ms * load * load;
        if (wanted.is_engine)
            cost += weight_of_reading * static_cast<double>(unkept) / read_rate_per_ms;
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
        best = { state, unkept, expected, is_free && is_quick };
    }
    return best;
}

endpoint_board::occupancy endpoint_board::occupancy_of(pool_name const& pool) const
{
    occupancy sum;
    auto const found = m_open.find(pool);
    if (found == m_open.end())
        return sum;
    for (auto const* state : found->second) {
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

void endpoint_board::note_first_event(endpoint_state& endpoint, double took_ms, double expected_ms)
{
    auto const foreseen = std::max(expected_ms / endpoint.slowness, 1.0);
    endpoint.slowness += weight_of_the_newest_time * (took_ms / foreseen - endpoint.slowness);
    endpoint.slowness = std::clamp(endpoint.slowness, least_slowness, most_slowness);
}

void endpoint_board::take_report(peer_reported const& report, instant now)
{
    forget_peer(report.peer);
    for (auto const& load : report.loads) {
        if (auto* state = find(load.endpoint)) {
            state->others_running += load.running;
            state->others_unread += load.unread;
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
        state->others_unread = 0;
    }
    for (auto const& [other, loads] : m_reports) {
        for (auto const& load : loads) {
            if (auto* state = find(load.endpoint)) {
                state->others_running += load.running;
                state->others_unread += load.unread;
            }
        }
    }
}

void endpoint_board::forget_old_parts(instant now)
{
    for (auto& [name, state] : m_endpoints)
        state->places.forget_old(now);
}

std::vector<endpoint_load> endpoint_board::own_loads() const
{
    std::vector<endpoint_load> loads;
    for (auto const& [name, state] : m_endpoints) {
        if (state->running > 0)
            loads.push_back({ name, state->running, state->unread });
    }
    return loads;
}

} // namespace shedhill::dispatch
