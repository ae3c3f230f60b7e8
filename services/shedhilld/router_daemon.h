// SPDX-License-Identifier: BSD-2-Clause
// Executes the effects of a router: it serves callers over HTTP, exchanges frames with other processes and calls the
// platform over the platform's protocol.
#pragma once

#include "libraries/edge/request_parser.h"
#include "libraries/router/router_reducer.h"
#include "libraries/table_service/http_platform.h"
#include "services/shedhilld/process.h"

#include <deque>
#include <map>
#include <memory>

namespace shedhill::daemon {

struct router_settings {
    router::options options;
    net::process_identity identity;
    std::string http_address;
    std::string frame_address;
    std::string admin_address;
    std::string platform_address;
    net::http_limits limits;
    // Routers that are asked for the configuration if the platform cannot be read at the start.
    std::vector<table_service::vm_record> peers;
};

class router_daemon {
public:
    router_daemon(process& host, router_settings settings);

    // Opens all addresses and prints their ports.
    result<void> open();

private:
    // Queues the reducer's answer effects for one caller, in order.
    struct caller {
        std::deque<router::effect> answers;
        std::size_t queued_bytes { 0 };
        net::fiber_event changed;
        instant arrived_at {};
        instant last_chunk_at {};
        // The connection is closed, or the caller reads so slowly that the answer was abandoned.
        bool is_gone { false };
    };

    void post(router::event_body body);
    void carry_out(router::effect& effect);
    void run(router::answer_whole& effect);
    void run(router::answer_start& effect);
    void run(router::answer_chunk& effect);
    void run(router::answer_end& effect);
    void run(router::send_message& effect);
    void run(router::open_connection& effect);
    void run(router::close_connection& effect);
    void run(router::list_vms& effect);
    void run(router::read_head& effect);
    void run(router::read_changes& effect);
    void run(router::read_snapshot& effect);
    void run(router::write_snapshot& effect);
    void run(router::write_claims& effect);
    void run(router::release_claims& effect);
    void run(router::set_ready& effect);
    void run(router::stop_process& effect);
    void run(router::count_event& effect);
    void run(router::count_refusal& effect);
    void run(router::count_retry& effect);
    void run(router::log_line& effect);

    void serve_caller(net::http_exchange& exchange);
    bool deliver(net::http_exchange& exchange, caller& pending_caller);
    void queue_answer(request_number number, router::effect answer, std::size_t bytes);
    void connect(vm_name const& vm, std::string const& address);
    void serve_connection(
        std::shared_ptr<net::frame_connection> const& connection, wire::hello const& peer, bool is_incoming);
    void finish_stopping();

    process& m_host;
    router_settings m_settings;
    router::router_reducer m_reducer;
    table_service::http_platform m_platform;
    std::map<request_number, std::shared_ptr<caller>> m_callers;
    std::map<connection_id, std::shared_ptr<net::frame_connection>> m_connections;
    std::unique_ptr<net::http_server> m_http;
    std::unique_ptr<net::frame_listener> m_frames;
    std::uint64_t m_last_request { 0 };
    std::uint64_t m_last_connection { 0 };
};

} // namespace shedhill::daemon
