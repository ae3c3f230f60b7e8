// SPDX-License-Identifier: BSD-2-Clause
// Handles grants, runs, refusals and the drain of one endpoint.
#include "libraries/endpoint/endpoint_reducer.h"

#include <algorithm>

namespace shedhill::endpoint {

namespace {

// The number of accepted attempts that are stored for each router. A duplicate can only arrive soon after the original.
constexpr std::size_t max_accepted_attempts = 4096;

} // namespace

effect_list endpoint_reducer::reduce(event const& input)
{
    m_now = input.now;
    m_draw = random_generator(input.draw);
    m_effects.clear();
    std::visit([&](auto const& body) { handle(body); }, input.body);
    grant_free_slots();
    stop_if_drained();
    return std::move(m_effects);
}

std::uint32_t endpoint_reducer::free_slots() const
{
    auto const used = m_running.size() + m_grants.size();
    return used >= m_settings.slots ? 0 : m_settings.slots - static_cast<std::uint32_t>(used);
}

void endpoint_reducer::handle(connection_up const& up)
{
    m_revisions.record(up.revision, m_now);
    m_routers[up.connection].vm = up.vm;
    send(up.connection, state());
}

void endpoint_reducer::handle(connection_down const& down)
{
    m_routers.erase(down.connection);
    m_board.drop(down.connection);
    std::erase_if(m_grants, [&](auto const& entry) { return entry.second.connection == down.connection; });
    for (auto& [call, running] : m_running) {
        if (running.connection != down.connection || running.is_abandoned)
            continue;
        running.is_abandoned = true;
        // A request that is not repeatable runs to its end, because a partial run has no use.
        if (running.is_repeatable)
            m_effects.emplace_back(cancel_call { call });
    }
}

void endpoint_reducer::handle(message_received const& received)
{
    if (!m_routers.contains(received.connection))
        return;
    if (auto const* offered = std::get_if<wire::offer>(&received.message))
        handle_message(received.connection, *offered);
    else if (auto const* run = std::get_if<wire::run>(&received.message))
        handle_message(received.connection, *run);
    else if (auto const* unused = std::get_if<wire::no_work>(&received.message))
        handle_message(received.connection, *unused);
    else if (auto const* cancelled = std::get_if<wire::cancel>(&received.message))
        handle_message(received.connection, *cancelled);
}

void endpoint_reducer::handle(engine_head const& head)
{
    m_engine_backoff = milliseconds(0);
    auto const found = m_running.find(head.call);
    if (found == m_running.end())
        return;
    found->second.status = head.status;
    found->second.content_type = head.content_type;
}

void endpoint_reducer::handle(engine_data const& data)
{
    auto const found = m_running.find(data.call);
    if (found == m_running.end() || found->second.is_abandoned)
        return;
    auto& running = found->second;
    auto const service = running.is_model_call ? data.service : service_units((m_now - running.started_at).count());
    if (service > running.charged)
        charge(running, service);
    send_chunk(running, data.data, service);
}

void endpoint_reducer::send_chunk(attempt& running, std::string data, service_units service)
{
    wire::chunk sent { running.request, running.number, running.next_sequence, 0, {}, std::move(data), service };
    if (!running.has_sent_head) {
        sent.status = running.status;
        sent.content_type = running.content_type;
        running.has_sent_head = true;
    }
    running.next_sequence = chunk_sequence(running.next_sequence.value() + 1);
    send(running.connection, std::move(sent));
}

void endpoint_reducer::handle(engine_ended const& ended)
{
    auto const found = m_running.find(ended.call);
    if (found == m_running.end())
        return;
    auto running = std::move(found->second);
    m_running.erase(found);
    auto const spent = running.is_model_call ? ended.service : service_units((m_now - running.started_at).count());
    auto const service = ended.end == engine_end::not_sent ? service_units() : spent;
    charge(running, service);
    // The first chunk carries the head, also that of an answer without a body.
    if (ended.end == engine_end::whole && !running.has_sent_head && !running.is_abandoned)
        send_chunk(running, {}, service);
    wire::finished sent { running.request, running.number, running.next_sequence, wire::run_outcome::unknown,
        wire::reason::engine_cut, service, m_board.is_empty() ? free_slots() : 0 };
    switch (ended.end) {
    case engine_end::whole:
        count(counter::runs_whole);
        sent.outcome = wire::run_outcome::ran;
        sent.why = wire::reason::none;
        break;
    case engine_end::not_sent:
        sent.outcome = wire::run_outcome::not_run;
        sent.why = wire::reason::engine_unreachable;
        m_engine_backoff
            = std::clamp(m_engine_backoff * 2, m_settings.min_engine_backoff, m_settings.max_engine_backoff);
        m_engine_retry_at = m_now + m_engine_backoff;
        m_effects.emplace_back(count_refusal { wire::reason::engine_unreachable });
        break;
    case engine_end::cut:
        count(counter::runs_cut);
        break;
    case engine_end::cancelled:
        count(counter::runs_cancelled);
        break;
    }
    if (!running.is_abandoned)
        send(running.connection, sent);
}

void endpoint_reducer::handle(drain_requested const& /*requested*/)
{
    if (m_is_draining)
        return;
    m_is_draining = true;
    m_board.clear();
    m_effects.emplace_back(set_ready { false });
    m_effects.emplace_back(
        log_line { "draining: new requests are refused, " + std::to_string(m_running.size()) + " running" });
    for (auto const& [connection, router] : m_routers)
        send(connection, state());
}

void endpoint_reducer::handle(tick const& /*ticked*/)
{
    std::vector<grant_number> expired;
    for (auto const& [number, waiting] : m_grants) {
        if (m_now - waiting.granted_at >= m_settings.grant_timeout)
            expired.push_back(number);
    }
    for (auto const number : expired)
        release_grant(number, m_grants.at(number));
    announce_if_idle();
}

void endpoint_reducer::handle_message(connection_id from, wire::offer const& offered)
{
    count(counter::offers_received);
    m_revisions.record(offered.revision, m_now);
    auto why = wire::reason::none;
    if (m_is_draining)
        why = wire::reason::endpoint_draining;
    else if (m_revisions.is_stale(offered.revision, m_now))
        why = wire::reason::stale_revision;
    if (why != wire::reason::none) {
        m_board.drop(from);
        m_effects.emplace_back(count_refusal { why });
        send(from, wire::offer_refused { why, m_revisions.latest() });
        return;
    }
    m_announce_interval = m_settings.min_announce_interval;
    for (auto const& entry : offered.entries)
        m_board.put(from, entry, m_now);
}

void endpoint_reducer::handle_message(connection_id from, wire::run const& run)
{
    m_revisions.record(run.revision, m_now);
    if (m_routers.at(from).accepted.contains({ run.request, run.attempt })) {
        count(counter::runs_repeated);
        return;
    }
    auto const found = m_grants.find(run.grant);
    if (found == m_grants.end() || found->second.connection != from) {
        refuse_run(from, run, wire::reason::unknown_grant);
        return;
    }
    release_grant(run.grant, found->second);
    if (m_is_draining)
        refuse_run(from, run, wire::reason::endpoint_draining);
    else if (m_revisions.is_stale(run.revision, m_now))
        refuse_run(from, run, wire::reason::stale_revision);
    else
        start(from, run);
}

void endpoint_reducer::handle_message(connection_id from, wire::no_work const& unused)
{
    auto const found = m_grants.find(unused.number);
    if (found == m_grants.end() || found->second.connection != from)
        return;
    count(counter::grants_unused);
    m_board.drop(from, found->second.account);
    release_grant(unused.number, found->second);
}

void endpoint_reducer::handle_message(connection_id from, wire::cancel const& cancelled)
{
    for (auto& [call, running] : m_running) {
        if (running.connection != from || running.request != cancelled.request || running.number != cancelled.attempt
            || running.is_abandoned)
            continue;
        running.is_abandoned = true;
        m_effects.emplace_back(cancel_call { call });
    }
}

void endpoint_reducer::refuse_run(connection_id from, wire::run const& run, wire::reason why)
{
    m_effects.emplace_back(count_refusal { why });
    send(from, wire::refused { run.request, run.attempt, why, m_revisions.latest() });
}

void endpoint_reducer::start(connection_id from, wire::run const& run)
{
    count(counter::runs_started);
    auto& router = m_routers.at(from);
    router.accepted.insert({ run.request, run.attempt });
    router.accepted_order.emplace_back(run.request, run.attempt);
    if (router.accepted_order.size() > max_accepted_attempts) {
        router.accepted.erase(router.accepted_order.front());
        router.accepted_order.pop_front();
    }
    for (auto const& entry : run.refresh)
        m_board.put(from, entry, m_now);
    call_number const call(++m_last_call);
    auto& running = m_running[call];
    running.connection = from;
    running.request = run.request;
    running.number = run.attempt;
    running.account = run.account;
    running.started_at = m_now;
    running.is_model_call = run.is_model_call;
    running.is_repeatable = run.is_repeatable;
    charge(running, run.expected_cost);
    m_effects.emplace_back(start_call { call, from, run });
}

void endpoint_reducer::release_grant(grant_number number, pending_grant const& unused)
{
    m_board.charge(unused.connection, unused.account, service_units() - unused.charged, m_now);
    m_grants.erase(number);
}

void endpoint_reducer::grant_free_slots()
{
    if (m_is_draining || m_now < m_engine_retry_at)
        return;
    while (free_slots() > 0) {
        auto const chosen = m_board.take_next(m_draw, m_now);
        if (!chosen)
            return;
        grant_number const number(++m_last_grant);
        auto const expected = chosen->expected_cost;
        m_board.charge(chosen->connection, chosen->account, expected, m_now);
        m_grants[number] = { chosen->connection, chosen->account, expected, m_now };
        count(counter::grants);
        send(chosen->connection, wire::grant { number, chosen->account });
    }
}

void endpoint_reducer::announce_if_idle()
{
    auto const is_idle = !m_is_draining && free_slots() > 0 && m_board.is_empty() && !m_routers.empty();
    if (!is_idle || m_now - m_announced_at < m_announce_interval)
        return;
    m_announced_at = m_now;
    m_announce_interval = std::min(m_announce_interval * 2, m_settings.max_announce_interval);
    count(counter::idle_announcements);
    std::vector<connection_id> routers;
    for (auto const& [connection, router] : m_routers)
        routers.push_back(connection);
    auto const fanout = std::min(m_settings.announce_fanout, routers.size());
    for (std::size_t index = 0; index < fanout; ++index) {
        std::swap(routers[index], routers[index + m_draw.next_below(routers.size() - index)]);
        send(routers[index], state());
    }
}

void endpoint_reducer::charge(attempt& running, service_units actual)
{
    m_board.charge(running.connection, running.account, actual - running.charged, m_now);
    running.charged = actual;
}

void endpoint_reducer::stop_if_drained()
{
    // A router may still use an outstanding grant. Its request must be refused, because a lost connection would leave
    // open whether it ran.
    if (!m_is_draining || m_is_stopped || !m_running.empty() || !m_grants.empty())
        return;
    m_is_stopped = true;
    m_effects.emplace_back(stop_process {});
}

wire::endpoint_state endpoint_reducer::state() const
{
    return { m_settings.slots, free_slots(), m_is_draining, m_revisions.latest() };
}

} // namespace shedhill::endpoint
