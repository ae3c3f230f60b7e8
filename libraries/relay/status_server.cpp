// SPDX-License-Identifier: BSD-2-Clause
// Answers each request with a short text.
#include "libraries/relay/status_server.h"

namespace shedhill::relay {

namespace {

constexpr unsigned status_unavailable = 503;
constexpr std::size_t max_connections = 64;
// Requests for the status have no body.
constexpr read_limits limits { 16384, 0 };

} // namespace

void status_server::accept(int descriptor)
{
    // A peer that opens connections and leaves them open takes no more than these. The oldest gives way.
    if (m_connections.size() >= max_connections)
        m_connections.begin()->second->abort_connection();
    auto const number = ++m_last_number;
    auto const connection
        = std::make_shared<caller_connection>(m_loop, number, static_cast<caller_listener&>(*this), limits);
    m_connections.emplace(number, connection);
    connection->open(descriptor);
}

void status_server::on_request(caller_connection& connection, caller_request request)
{
    auto const target = to_view(request.target());
    answer(connection, m_answer(target.substr(0, target.find('?'))));
}

void status_server::on_bad_request(caller_connection& connection, bad_request const& refused)
{
    answer(connection, { refused.status, "bad request: " + refused.reason + "\n" });
}

void status_server::on_body_refused(caller_connection& connection, caller_request const&)
{
    answer(connection, { status_unavailable, "no memory for a body\n" });
}

void status_server::answer(caller_connection& connection, status_answer const& response)
{
    auto& out = connection.out();
    append_status_line(
        out, response.status, to_view(http::obsolete_reason(static_cast<http::status>(response.status))));
    append_field(out, "Content-Type", "text/plain");
    append_field(out, "Content-Length", std::to_string(response.body.size()));
    if (connection.closes_after_answer())
        append_field(out, "Connection", "close");
    out += "\r\n";
    out += response.body;
    connection.finish_answer();
}

} // namespace shedhill::relay
