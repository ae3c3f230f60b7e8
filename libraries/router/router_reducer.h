// SPDX-License-Identifier: BSD-2-Clause
// The whole of a router's decisions: takes one event after another and returns what to do. No clock, no input or
// output, no randomness but what comes with the event.
#pragma once

#include "libraries/router/request_flow.h"
#include "libraries/router/service_reporter.h"

#include <unordered_map>

namespace shedhill::router {

class router_reducer {
public:
    explicit router_reducer(options settings);

    // The parts refer to each other, so a reducer stays where it is.
    router_reducer(router_reducer const&) = delete;
    router_reducer& operator=(router_reducer const&) = delete;

    effect_list reduce(event const& happened);

    [[nodiscard]] config::catalog const& catalog() const { return m_follower.catalog(); }
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

    void take_from_endpoint(link& from, wire::message const& message, step_context& step);
    void take_from_router(link& from, wire::message const& message, step_context& step);
    void take_from_peer(
        connection_id connection, vm_name const& peer, wire::message const& message, step_context& step);
    void take(link& from, wire::endpoint_state const& state, step_context& step);
    void take(link& from, wire::offer_refused const& refused, step_context& step);

    void note_revision(follow_result followed, step_context& step);
    void update_ready(step_context& step);
    void stop_if_drained(step_context& step);

    options m_settings;
    config_follower m_follower;
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
    instant m_vms_read_at {};
    bool m_has_vms { false };
    bool m_is_ready { false };
    bool m_is_stopped { false };
};

} // namespace shedhill::router
