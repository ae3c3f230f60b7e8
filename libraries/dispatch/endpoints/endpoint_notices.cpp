// SPDX-License-Identifier: BSD-2-Clause
// Applies what endpoints announce about themselves in answers: back-off requests and that they are about to stop. An
// announcement applies to the endpoint instance that made it for as long as it is valid, whatever the endpoint's rows
// say in the meantime.
#include "libraries/dispatch/endpoints/endpoint_board.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// An instance that announced that it is about to stop ends within minutes; until then its row may disappear and
// reappear.
constexpr milliseconds leaving_retention { 3600000 };

} // namespace

notice_change endpoint_board::apply_notice(endpoint_key instance, endpoint_notice const& notice, instant now)
{
    auto* const state = find(instance);
    // The instance may have been removed from the list, and may be listed again later.
    auto& announced = state != nullptr
        ? state->announced
        : m_retained_states.try_emplace(instance, retained_state { {}, now }).first->second.announced;
    notice_change change;
    change.has_started_backoff = notice.backoff.count() > 0 && !announced.backoff.is_backing_off(now);
    change.has_started_leaving = notice.is_leaving && !announced.is_leaving;
    if (notice.backoff.count() > 0) {
        announced.backoff.record_requested(notice.backoff, now);
        m_last_backoff_end = std::max(m_last_backoff_end, announced.backoff.until());
    }
    announced.is_leaving |= notice.is_leaving;
    if (state == nullptr)
        return change;
    if (change.has_started_backoff && std::ranges::find(m_backing_off, instance) == m_backing_off.end())
        m_backing_off.push_back(instance);
    if (change.has_started_leaving)
        remove_from_pool(*state);
    return change;
}

std::vector<endpoint_name> endpoint_board::take_ended_backoffs(instant now)
{
    std::vector<endpoint_name> ended;
    std::erase_if(m_backing_off, [&](endpoint_key instance) {
        auto const* const state = find(instance);
        if (state != nullptr && state->announced.backoff.is_backing_off(now))
            return false;
        if (state != nullptr)
            ended.push_back(state->entry.name);
        return true;
    });
    return ended;
}

std::optional<milliseconds> endpoint_board::all_backed_off_for(
    pool_name const& pool, endpoint_constraints const& constraints, instant now) const
{
    if (now >= m_last_backoff_end)
        return std::nullopt;
    auto const found = m_available.find(pool);
    if (found == m_available.end())
        return std::nullopt;
    std::optional<instant> earliest_end;
    for (auto const* state : found->second) {
        if (!constraints.allows(state->region, state->software))
            continue;
        if (!state->announced.backoff.is_backing_off(now))
            return std::nullopt;
        earliest_end
            = std::min(earliest_end.value_or(state->announced.backoff.until()), state->announced.backoff.until());
    }
    if (!earliest_end)
        return std::nullopt;
    return *earliest_end - now;
}

void endpoint_board::retain_announced_state(endpoint_state const& removed, instant now)
{
    if (removed.announced.is_leaving || removed.announced.backoff.is_backing_off(now))
        m_retained_states.insert_or_assign(removed.key, retained_state { removed.announced, now });
}

void endpoint_board::restore_announced_state(endpoint_state& state)
{
    auto const retained = m_retained_states.find(state.key);
    if (retained == m_retained_states.end())
        return;
    state.announced = retained->second.announced;
    m_retained_states.erase(retained);
}

void endpoint_board::expire_announced_states(instant now)
{
    std::erase_if(m_retained_states, [now](auto const& retained) {
        auto const& [announced, since] = retained.second;
        return !announced.backoff.is_backing_off(now) && (!announced.is_leaving || now - since >= leaving_retention);
    });
}

std::vector<held_endpoint> endpoint_board::held_endpoints(instant now) const
{
    std::vector<held_endpoint> held;
    for (auto const& [name, state] : m_by_name) {
        auto const add = [&, &state = *state](hold_reason reason, milliseconds left = milliseconds(0)) {
            held.push_back({ state.entry.name, state.entry.pool, state.entry.domain, reason, left });
        };
        if (state->announced.backoff.is_backing_off(now))
            add(hold_reason::resting, state->announced.backoff.until() - now);
        if (state->announced.is_leaving)
            add(hold_reason::leaving);
        if (state->entry.is_draining)
            add(hold_reason::draining);
        if (m_evacuated.contains(state->entry.domain))
            add(hold_reason::evacuated);
        if (state->health.is_ejected())
            add(hold_reason::ejected, std::max(state->health.ejected_until() - now, milliseconds(0)));
        if (state->cold.is_cold(now))
            add(hold_reason::cold);
    }
    std::ranges::sort(held, {}, [](held_endpoint const& entry) { return std::pair(entry.name, entry.reason); });
    return held;
}

} // namespace shedhill::dispatch
