// SPDX-License-Identifier: BSD-2-Clause
// Events that concern no single request: configuration, list, peers, time, drain. What happens to a request stands in
// dispatch_admission.cpp and dispatch_outcomes.cpp.
#include "libraries/dispatch/dispatch_reducer.h"

#include "libraries/dispatch/log_fields.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

constexpr milliseconds peer_silence_limit { 1500 };
constexpr milliseconds deadline_interval { 40 };
constexpr milliseconds parts_interval { 2000 };
constexpr milliseconds shares_interval { 100 };

} // namespace

dispatch_reducer::dispatch_reducer(dispatch_options options)
    : m_options(std::move(options))
    , m_board(m_options.domain, m_options.policy)
    , m_ledger(m_options.share_window)
    , m_retries(m_options.retries)
{
}

effect_list dispatch_reducer::reduce(event const& happened)
{
    step_context step { happened.now, happened.draw, {} };
    std::visit([&](auto const& body) { handle(body, step); }, happened.body);
    return std::move(step.effects);
}

void dispatch_reducer::handle(configuration_learned const& learned, step_context& step)
{
    if (m_routes.adopt(learned.learned) == adoption::not_newer)
        return;
    auto const& current = m_routes.current();
    step.effects.emplace_back(log_line { severity::failure, "configuration_in_force",
        log_fields().add("revision", current.revision).add("routes", current.routes.size()).take() });
    update_ready(step);
}

void dispatch_reducer::handle(endpoints_listed const& listed, step_context& step)
{
    m_board.take_list(listed.entries);
    m_has_list = true;
    std::size_t draining = 0;
    for (auto const& entry : listed.entries)
        draining += entry.is_draining ? 1 : 0;
    step.effects.emplace_back(log_line { severity::failure, "endpoints_listed",
        log_fields().add("endpoints", listed.entries.size()).add("draining", draining).take() });
    update_ready(step);
    serve_waiting(step);
}

void dispatch_reducer::handle(peer_reported const& report, step_context& step)
{
    if (m_peers.insert_or_assign(report.peer, peer_state { step.now, report.is_aside, report.busy_part }).second)
        step.effects.emplace_back(
            log_line { severity::failure, "peer_regained", log_fields().add("peer", report.peer.value()).take() });
    m_ledger.take_report(report.peer, report.teams, report.known_span, step.now);
    m_board.take_report(report, step.now);
    m_retries.set_routers(std::max(m_peers.size() + 1, m_options.retries.routers));
}

void dispatch_reducer::handle(peer_lost const& lost, step_context& step)
{
    if (m_peers.erase(lost.peer) == 0)
        return;
    m_ledger.forget_peer(lost.peer);
    m_board.forget_peer(lost.peer);
    step.effects.emplace_back(
        log_line { severity::failure, "peer_lost", log_fields().add("peer", lost.peer.value()).take() });
}

void dispatch_reducer::handle(drain_requested const&, step_context& step)
{
    m_is_draining = true;
    update_ready(step);
    stop_if_drained(step);
}

void dispatch_reducer::handle(tick const& ticked, step_context& step)
{
    m_overload.note_tick(ticked.lag, ticked.busy_part);
    if (m_overload.update_aside(load_of_fleet(), step.now))
        update_ready(step);
    if (step.now - m_shares_updated >= shares_interval) {
        m_shares_updated = step.now;
        m_ledger.update_shares(m_routes.current().limits.tokens_per_second, step.now);
        m_board.fade_slowness();
    }
    if (!m_waiting.empty())
        serve_waiting(step);
    if (step.now - m_deadlines_checked >= deadline_interval) {
        m_deadlines_checked = step.now;
        std::vector<request_number> over;
        for (auto const& [number, request] : m_requests) {
            if (step.now >= request.deadline)
                over.push_back(number);
        }
        for (auto const number : over)
            end_at_deadline(number, m_requests.at(number), step);
        std::vector<vm_name> silent;
        for (auto const& [peer, state] : m_peers) {
            if (step.now - state.heard_at > peer_silence_limit)
                silent.push_back(peer);
        }
        for (auto const& peer : silent)
            handle(peer_lost { peer }, step);
    }
    if (step.now - m_parts_checked >= parts_interval) {
        m_parts_checked = step.now;
        m_board.forget_old_parts(step.now);
    }
    stop_if_drained(step);
}

fleet_load dispatch_reducer::load_of_fleet() const
{
    fleet_load load;
    load.routers = m_peers.size() + 1;
    double busy = 0;
    for (auto const& [peer, state] : m_peers) {
        load.others_aside += state.is_aside ? 1 : 0;
        busy += state.is_aside ? 0 : state.busy_part;
    }
    if (m_peers.size() > load.others_aside)
        load.others_busy_part = busy / static_cast<double>(m_peers.size() - load.others_aside);
    return load;
}

void dispatch_reducer::update_ready(step_context& step)
{
    bool const is_ready = m_routes.has_configuration() && m_has_list && !m_is_draining && !m_overload.is_aside();
    if (is_ready == m_is_ready)
        return;
    m_is_ready = is_ready;
    step.effects.emplace_back(set_ready { is_ready, m_overload.is_aside() });
    step.effects.emplace_back(log_line { severity::failure, "ready_changed",
        log_fields()
            .add("ready", is_ready ? 1 : 0)
            .add("aside", m_overload.is_aside() ? 1 : 0)
            .add("draining", m_is_draining ? 1 : 0)
            .add("active", m_requests.size())
            .take() });
}

void dispatch_reducer::stop_if_drained(step_context& step)
{
    if (!m_is_draining || m_is_stopped || !m_requests.empty())
        return;
    m_is_stopped = true;
    step.effects.emplace_back(stop_process {});
}

peer_reported dispatch_reducer::take_own_report(report_scope scope, instant now)
{
    peer_reported report;
    report.scope = scope;
    report.peer = m_options.vm;
    report.loads = m_board.take_own_loads(scope, now);
    report.teams = m_ledger.own_usage(now);
    report.known_span = m_ledger.known_span(now);
    report.is_aside = m_overload.is_aside();
    report.busy_part = m_overload.busy_part();
    report.parts = std::move(m_placed);
    m_placed.clear();
    return report;
}

} // namespace shedhill::dispatch
