// SPDX-License-Identifier: BSD-2-Clause
// Dispatches each event to the part of the router that handles it.
#include "libraries/router/router_reducer.h"

#include "base/hash.h"
#include "libraries/wire/codec.h"

#include <algorithm>

namespace shedhill::router {

namespace {

// One router, chosen by rendezvous hashing, writes a snapshot of each revision that is a multiple of this.
constexpr std::uint64_t revisions_per_snapshot = 64;

} // namespace

router_reducer::router_reducer(options settings)
    : m_settings(std::move(settings))
    , m_config(m_settings)
    , m_reach(m_config.catalog())
    , m_links(m_settings)
    , m_planner(m_settings, m_config.catalog(), m_reach, m_links, m_queues, m_ledger)
    , m_claims(m_settings)
    , m_flow({ m_settings, m_config.catalog(), m_reach, m_links, m_queues, m_ledger, m_planner, m_claims })
    , m_reporter(m_settings, m_links, m_ledger)
{
}

effect_list router_reducer::reduce(event const& input)
{
    step_context step(input.now, input.draw);
    std::visit([&](auto const& body) { handle(body, step); }, input.body);
    stop_if_drained(step);
    return step.take_effects();
}

void router_reducer::handle(caller_request const& arrived, step_context& step)
{
    m_flow.handle_arrival(arrived, m_is_ready, step);
}

void router_reducer::handle(caller_gone const& gone, step_context& step) { m_flow.drop_caller(gone.request, step); }

void router_reducer::handle(connection_up const& up, step_context& step)
{
    m_config.record_seen_revision(up.revision, step);
    if (up.is_incoming) {
        m_peers[up.connection] = up.vm;
        m_links.record_incoming_connection(up.vm, step.now());
        return;
    }
    if (auto* vm_link = m_links.find(up.vm); vm_link != nullptr && vm_link->phase == link_phase::up)
        m_flow.handle_link_lost(*vm_link, step);
    auto* connected = m_links.record_connected(up.connection, up.vm);
    if (connected == nullptr) {
        step.emit(close_connection { up.connection });
        return;
    }
    if (!m_config.has_revision() && connected->vm.role == table_service::vm_role::router)
        step.send(up.connection, wire::snapshot_request { catalog().current_revision() });
}

void router_reducer::handle(connection_down const& down, step_context& step)
{
    m_peers.erase(down.connection);
    auto* broken = m_links.find(down.connection);
    if (broken == nullptr)
        return;
    m_flow.handle_link_lost(*broken, step);
    m_links.record_disconnected(*broken, step);
}

void router_reducer::handle(connect_failed const& failed, step_context& step)
{
    m_links.record_connect_failure(failed.vm, step);
}

void router_reducer::handle(message_received const& received, step_context& step)
{
    if (auto* from = m_links.find(received.connection)) {
        if (from->vm.role == table_service::vm_role::endpoint)
            handle_endpoint_message(*from, received.message, step);
        else
            handle_router_message(*from, received.message, step);
        return;
    }
    if (auto const peer = m_peers.find(received.connection); peer != m_peers.end())
        handle_incoming_peer_message(received.connection, peer->second, received.message, step);
}

void router_reducer::handle(vms_listed const& listed, step_context& step)
{
    // A list without endpoints is outdated or not complete yet, so it does not make the router ready.
    m_has_vms = m_has_vms || std::ranges::any_of(listed.vms, [](table_service::vm_record const& vm) {
        return vm.role == table_service::vm_role::endpoint;
    });
    if (m_links.update_vms(listed.vms, step) == list_change::changed)
        m_links.set_pools(catalog());
    m_links.connect_due(step);
    update_ready(step);
}

void router_reducer::handle(peers_configured const& configured, step_context& step)
{
    m_links.update_vms(configured.peers, step);
}

void router_reducer::handle(head_read const& read, step_context& step)
{
    handle_sync_result(m_config.apply(read, step), step);
}

void router_reducer::handle(changes_read const& read, step_context& step)
{
    handle_sync_result(m_config.apply(read, step), step);
}

void router_reducer::handle(snapshot_read const& read, step_context& step)
{
    handle_sync_result(m_config.apply_snapshot(read.snapshot, step), step);
}

void router_reducer::handle(platform_read_failed const& /*failed*/, step_context& step)
{
    m_config.record_read_failure();
    if (m_config.has_revision())
        return;
    // The platform cannot be read, but other routers may have the configuration in force.
    for (auto& [name, vm_link] : m_links.all()) {
        if (vm_link.vm.role != table_service::vm_role::router)
            continue;
        m_links.mark_wanted(name);
        if (vm_link.phase == link_phase::up)
            step.send(vm_link.connection, wire::snapshot_request { catalog().current_revision() });
    }
}

void router_reducer::handle(claims_answered const& answered, step_context& step)
{
    m_flow.apply_claim_verdicts(answered, step);
    m_claims.tick(step);
}

void router_reducer::handle(drain_requested const& /*requested*/, step_context& step)
{
    if (m_flow.is_draining())
        return;
    step.emit(log_line { "draining: new requests are refused, " + std::to_string(m_flow.open_count()) + " in flight" });
    m_flow.drain(step);
    update_ready(step);
}

void router_reducer::handle(tick const& /*ticked*/, step_context& step)
{
    m_config.tick(step);
    auto const vm_interval = m_has_vms ? m_settings.vm_interval : m_settings.initial_vm_interval;
    if (m_vms_requested_at == instant() || step.now() - m_vms_requested_at >= vm_interval) {
        m_vms_requested_at = step.now();
        step.emit(list_vms {});
    }
    m_links.connect_due(step);
    m_flow.tick(step);
    m_claims.tick(step);
    m_planner.tick(step);
    if (m_reporter.is_due(step.now()))
        m_reporter.report(m_flow.accounts_in_use(), step);
}

void router_reducer::handle_endpoint_message(link& from, wire::message const& message, step_context& step)
{
    if (auto const* granted = std::get_if<wire::grant>(&message))
        m_flow.handle_message(from, *granted, step);
    else if (auto const* received = std::get_if<wire::chunk>(&message))
        m_flow.handle_message(from, *received, step);
    else if (auto const* ended = std::get_if<wire::finished>(&message))
        m_flow.handle_message(from, *ended, step);
    else if (auto const* refused = std::get_if<wire::refused>(&message)) {
        m_config.record_seen_revision(refused->revision, step);
        m_flow.handle_message(from, *refused, step);
    } else if (auto const* state = std::get_if<wire::endpoint_state>(&message))
        handle_message(from, *state, step);
    else if (auto const* offer = std::get_if<wire::offer_refused>(&message))
        handle_message(from, *offer, step);
}

void router_reducer::handle_router_message(link& from, wire::message const& message, step_context& step)
{
    if (auto const* reading = std::get_if<wire::service_reading>(&message))
        m_reporter.apply_reading(*reading, step.now());
    else if (auto const* snapshot = std::get_if<wire::snapshot_reply>(&message)) {
        if (!m_has_vms && !snapshot->vms.empty())
            handle(vms_listed { snapshot->vms }, step);
        handle_sync_result(m_config.apply_snapshot(snapshot->snapshot, step), step);
    } else
        step.emit(log_line { "unexpected message ignored: " + std::string(wire::name_of(message)) + " from router "
            + from.vm.name.value() });
}

void router_reducer::handle_incoming_peer_message(
    connection_id connection, vm_name const& peer, wire::message const& message, step_context& step)
{
    if (auto const* report = std::get_if<wire::service_report>(&message))
        step.send(connection, m_reporter.accept(peer, *report, step.now()));
    else if (auto const* request = std::get_if<wire::snapshot_request>(&message)) {
        if (m_config.has_revision() && request->newer_than < catalog().current_revision())
            step.send(connection, wire::snapshot_reply { catalog().snapshot(), m_links.records() });
    }
}

void router_reducer::handle_message(link& from, wire::endpoint_state const& state, step_context& step)
{
    m_config.record_seen_revision(state.revision, step);
    from.free_slots = state.free_slots;
    if (state.is_draining) {
        if (!from.is_draining)
            step.emit(log_line { "endpoint drains: " + from.vm.name.value() });
        from.is_draining = true;
        auto const offered = std::exchange(from.offered, {});
        for (auto const& [account, work] : offered)
            m_planner.sync_offers(account, step);
        return;
    }
    m_planner.offer_all(from, step);
}

void router_reducer::handle_message(link& from, wire::offer_refused const& refused, step_context& step)
{
    from.offered.clear();
    step.emit(count_refusal { refused.why });
    if (refused.why == wire::reason::stale_revision)
        from.required_revision = std::max(from.required_revision, refused.revision);
    if (refused.why == wire::reason::endpoint_draining)
        from.is_draining = true;
    m_config.record_seen_revision(refused.revision, step);
}

void router_reducer::handle_sync_result(sync_result result, step_context& step)
{
    if (result == sync_result::advanced_endpoints) {
        m_links.set_pools(catalog());
        m_links.connect_due(step);
    }
    if (result != sync_result::unchanged) {
        auto const number = catalog().current_revision();
        auto const routers = m_links.live_routers();
        auto const writer = std::ranges::max_element(
            routers, {}, [&](vm_name const& router) { return rendezvous_weight(number.value(), router.value()); });
        if (number.value() % revisions_per_snapshot == 0 && *writer == m_settings.vm)
            step.emit(write_snapshot { number, catalog().snapshot() });
    }
    update_ready(step);
}

void router_reducer::update_ready(step_context& step)
{
    auto const is_ready = m_config.has_revision() && m_has_vms && !m_flow.is_draining();
    if (is_ready == m_is_ready)
        return;
    m_is_ready = is_ready;
    step.emit(set_ready { is_ready });
    step.emit(log_line {
        is_ready ? "ready at revision " + std::to_string(catalog().current_revision().value()) : "not ready" });
}

void router_reducer::stop_if_drained(step_context& step)
{
    if (!m_flow.is_draining() || m_is_stopped || m_flow.open_count() > 0)
        return;
    m_is_stopped = true;
    step.emit(stop_process {});
}

} // namespace shedhill::router
