// SPDX-License-Identifier: BSD-2-Clause
// The reducer of a router: makes all its decisions, one event at a time, and returns their effects. It has no clock, no
// input or output, and no randomness besides the seed in the event.
#pragma once

#include "libraries/router/request_flow.h"
#include "libraries/router/service_reporter.h"

#include <unordered_map>

namespace shedhill::router {

class router_reducer {
public:
    explicit router_reducer(options settings);

    // The members refer to each other, so a reducer is neither copied nor moved.
    router_reducer(router_reducer const&) = delete;
    router_reducer& operator=(router_reducer const&) = delete;

    // Applies one event and returns the effects to execute in their order.
    effect_list reduce(event const& input);

    [[nodiscard]] config::catalog const& catalog() const { return m_config.catalog(); }
    [[nodiscard]] bool is_ready() const { return m_is_ready; }
    [[nodiscard]] request_flow const& flow() const { return m_flow; }
    [[nodiscard]] work_queues const& queues() const { return m_queues; }
    [[nodiscard]] ledger::service_ledger const& ledger() const { return m_ledger; }
    [[nodiscard]] service_reporter const& reporter() const { return m_reporter; }
    [[nodiscard]] link_table& links() { return m_links; }

private:
    void handle(caller_request const& arrived, step_context& step);
    void handle(caller_gone const& gone, step_context& step);
    void handle(connection_up const& up, step_context& step);
    void handle(connection_down const& down, step_context& step);
    void handle(connect_failed const& failed, step_context& step);
    void handle(message_received const& received, step_context& step);
    void handle(vms_listed const& listed, step_context& step);
    void handle(peers_configured const& configured, step_context& step);
    void handle(head_read const& read, step_context& step);
    void handle(changes_read const& read, step_context& step);
    void handle(snapshot_read const& read, step_context& step);
    void handle(platform_read_failed const& failed, step_context& step);
    void handle(claims_answered const& answered, step_context& step);
    void handle(drain_requested const& requested, step_context& step);
    void handle(tick const& ticked, step_context& step);

    void handle_endpoint_message(link& from, wire::message const& message, step_context& step);
    void handle_router_message(link& from, wire::message const& message, step_context& step);
    void handle_incoming_peer_message(
        connection_id connection, vm_name const& peer, wire::message const& message, step_context& step);
    void handle_message(link& from, wire::endpoint_state const& state, step_context& step);
    void handle_message(link& from, wire::offer_refused const& refused, step_context& step);

    // Updates the pools, readiness and the snapshot after the configuration has changed.
    void handle_sync_result(sync_result result, step_context& step);
    void update_ready(step_context& step);
    void stop_if_drained(step_context& step);

    options m_settings;
    config_synchronizer m_config;
    reach_cache m_reach;
    link_table m_links;
    work_queues m_queues;
    ledger::service_ledger m_ledger;
    offer_planner m_planner;
    claim_batcher m_claims;
    request_flow m_flow;
    service_reporter m_reporter;
    // Connections that other routers opened to this one.
    std::unordered_map<connection_id, vm_name> m_peers;
    // When the VM list was last requested.
    instant m_vms_requested_at {};
    // Whether the VM list has contained an endpoint.
    bool m_has_vms { false };
    bool m_is_ready { false };
    bool m_is_stopped { false };
};

} // namespace shedhill::router
