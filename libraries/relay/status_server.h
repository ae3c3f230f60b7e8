// SPDX-License-Identifier: BSD-2-Clause
// An HTTP server for the status of this process: readiness and metrics.
#pragma once

#include "libraries/relay/caller_connection.h"

#include <functional>
#include <map>

namespace shedhill::relay {

struct status_answer {
    unsigned status { 200 };
    std::string body;
};

class status_server final : caller_listener {
public:
    using answer_function = std::function<status_answer(std::string_view path)>;

    status_server(event_loop& loop, answer_function answer)
        : m_loop(loop)
        , m_answer(std::move(answer))
        , m_listener(loop, [this](int descriptor) { accept(descriptor); })
    {
    }

    result<void> open(std::string const& address) { return m_listener.open(address); }
    [[nodiscard]] std::uint16_t port() const { return m_listener.port(); }

private:
    void accept(int descriptor);
    void on_request(caller_connection& connection, caller_request request) override;
    void on_bad_request(caller_connection& connection, bad_request const& refused) override;
    void on_body_refused(caller_connection& connection, caller_request const& request) override;
    void on_caller_caught_up(caller_connection&) override { }
    void on_caller_disconnected(caller_connection& connection) override { m_connections.erase(connection.number()); }
    static void answer(caller_connection& connection, status_answer const& response);

    event_loop& m_loop;
    answer_function m_answer;
    listener_socket m_listener;
    std::uint64_t m_last_number { 0 };
    std::map<std::uint64_t, std::shared_ptr<caller_connection>> m_connections;
};

} // namespace shedhill::relay
