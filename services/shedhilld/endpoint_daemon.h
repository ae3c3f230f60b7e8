// SPDX-License-Identifier: BSD-2-Clause
// Executes the effects of an endpoint process: it exchanges frames with routers and calls the engine or service beside
// it over HTTP.
#pragma once

#include "libraries/endpoint/endpoint_reducer.h"
#include "services/shedhilld/process.h"

#include <map>
#include <memory>

namespace shedhill::daemon {

struct endpoint_settings {
    endpoint::options options;
    net::process_identity identity;
    std::string frame_address;
    std::string admin_address;
    std::string engine_address;
};

class endpoint_daemon {
public:
    endpoint_daemon(process& host, endpoint_settings settings);

    result<void> open();

private:
    void post(endpoint::event_body body);
    void run(endpoint::send_message& effect);
    void run(endpoint::start_call& effect);
    void run(endpoint::cancel_call& effect);
    void run(endpoint::set_ready& effect);
    void run(endpoint::stop_process& effect);
    void run(endpoint::count_event& effect);
    void run(endpoint::count_refusal& effect);
    void run(endpoint::log_line& effect);

    void serve_connection(std::shared_ptr<net::frame_connection> const& connection);
    // Makes the call, and reads no more of its answer while the connection to the router has no space.
    void make_call(endpoint::call_number number, wire::run const& request, net::http_call& call,
        std::shared_ptr<net::frame_connection> const& answered);
    void finish_stopping();

    process& m_host;
    endpoint_settings m_settings;
    endpoint::endpoint_reducer m_reducer;
    std::map<connection_id, std::shared_ptr<net::frame_connection>> m_connections;
    std::map<endpoint::call_number, std::shared_ptr<net::http_call>> m_calls;
    std::unique_ptr<net::frame_listener> m_frames;
    // The newest revision that any router has sent. The handshake passes it to routers that connect.
    revision m_revision {};
    std::uint64_t m_last_connection { 0 };
};

} // namespace shedhill::daemon
