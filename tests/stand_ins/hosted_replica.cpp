// SPDX-License-Identifier: BSD-2-Clause
// Implements runs, streams and faults of the stand-in.
#include "tests/stand_ins/hosted_replica.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <cstdlib>

namespace shedhill::stand_ins {

namespace {

// A mute replica sends nothing for this time and then aborts the connection.
constexpr std::chrono::milliseconds mute_time { 20000 };
// The back-off that a replica asks for.
constexpr char const* backoff_seconds = "2";

net::stream_framing framing_of(net::http_request const& request)
{
    bool const is_unframed = request.target.find("/unframed/") != std::string::npos;
    return is_unframed ? net::stream_framing::connection : net::stream_framing::chunks;
}

bool rejects_requests(std::string const& mode) { return mode == "busy" || mode == "rest" || mode == "rest_once"; }

} // namespace

hosted_replica::hosted_replica(std::string incarnation, std::chrono::milliseconds interval,
    std::string const& runs_file, cold_start cold, std::string software)
    : m_incarnation(std::move(incarnation))
    , m_software(std::move(software))
    , m_interval(interval)
    , m_cold(cold)
{
    if (!runs_file.empty())
        m_runs_file.open(runs_file, std::ios::app);
}

void hosted_replica::serve(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    if (request.target == "/control") {
        auto const command = std::string(boost::json::parse(request.body).at("mode").as_string());
        m_is_leaving |= command == "leaving";
        if (command != "leaving")
            m_mode = command;
        (void)exchange.respond({ 200, {}, "application/json", "{}" });
        return;
    }
    if (request.target == "/counts") {
        boost::json::object counts;
        for (auto const& [id, count] : m_runs)
            counts[id] = count;
        (void)exchange.respond({ 200, {}, "application/json", boost::json::serialize(counts) });
        return;
    }
    run(exchange);
}

void hosted_replica::record_event(char const* event, net::http_request const& request)
{
    if (m_runs_file.is_open())
        m_runs_file << event << ' ' << request.header("Shedhill-Request-Id") << ' ' << request.method << ' '
                    << request.target << ' ' << m_incarnation << ' '
                    << std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now().time_since_epoch())
                           .count()
                    << std::endl;
}

std::vector<net::http_header> hosted_replica::common_headers(net::http_request const& request)
{
    std::vector<net::http_header> headers { { "Shedhill-Request-Id", request.header("Shedhill-Request-Id") } };
    if (!m_is_leaving)
        return headers;
    headers.push_back({ "Server-Leaving", "1" });
    record_event("told_leaving", request);
    return headers;
}

void hosted_replica::reject(net::http_exchange& exchange)
{
    auto headers = common_headers(exchange.request());
    headers.push_back({ "Shedhill-Not-Executed", "1" });
    if (m_mode != "busy") {
        headers.push_back({ "Retry-After", backoff_seconds });
        record_event("asked_rest", exchange.request());
    }
    if (m_mode == "rest_once")
        m_mode = "ok";
    (void)exchange.respond({ 503, headers, "text/plain", "full\n" });
}

void hosted_replica::run(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const id = request.header("Shedhill-Request-Id");
    record_event("arrived", request);
    if (auto const expected = request.header("Shedhill-Expect-Instance");
        !expected.empty() && expected != m_incarnation) {
        (void)exchange.respond({ 421, { { "Shedhill-Request-Id", id } }, "text/plain", "another\n" });
        return;
    }
    count_while_cold(request);
    if (rejects_requests(m_mode))
        return reject(exchange);
    ++m_runs[id];
    record_event("ran", request);
    if (is_harmful(request))
        crash(exchange);
    if (m_mode == "mute") {
        boost::this_fiber::sleep_for(mute_time);
        return exchange.abort_stream();
    }
    auto headers = common_headers(request);
    headers.push_back({ "Shedhill-Server-Signature", "signed-by-" + m_incarnation });
    if (request.target.find("/aborting/") != std::string::npos)
        return exchange.abort_stream();
    if (request.target.find("/endless/") != std::string::npos)
        return answer_without_end(exchange, headers);
    if (m_mode == "fail" || request.target.find("/failing/") != std::string::npos) {
        (void)exchange.respond({ 500, headers, "text/plain", "failed\n" });
        return;
    }
    if (m_mode == "odd_status") {
        (void)exchange.respond({ 0, headers, "text/plain", "odd\n" });
        return;
    }
    if (request.target.starts_with("/stream/"))
        return stream(exchange, headers);
    boost::this_fiber::sleep_for(m_interval);
    if (m_mode == "cut")
        return exchange.abort_stream();
    auto const body = "team=" + request.header("Shedhill-Tenant") + " key=" + request.header("Authorization")
        + " body=" + request.body;
    if (framing_of(request) == net::stream_framing::chunks) {
        (void)exchange.respond({ 200, headers, "text/plain", body });
        return;
    }
    if (exchange.start_stream(200, "text/plain", headers, net::stream_framing::connection))
        (void)exchange.write_chunk(body);
}

bool hosted_replica::is_harmful(net::http_request const& request)
{
    auto const parts = "," + request.header("Shedhill-Prefix-Hash");
    return request.target.find("/crash/") != std::string::npos || parts.find(",dead") != std::string::npos;
}

void hosted_replica::crash(net::http_exchange& exchange)
{
    boost::this_fiber::sleep_for(m_interval);
    begin_unframed_stream(exchange);
    record_event("crashed", exchange.request());
    std::_Exit(EXIT_FAILURE);
}

void hosted_replica::begin_unframed_stream(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    bool const is_inside = request.target.find("/inside/") != std::string::npos;
    if (!is_inside && request.target.find("/between/") == std::string::npos)
        return;
    auto headers = common_headers(request);
    headers.push_back({ "Shedhill-Server-Signature", "signed-by-" + m_incarnation });
    auto const last = request.header("Last-Event-Id");
    auto const number = std::to_string(last.empty() ? 1 : std::stoi(last) + 1);
    (void)exchange.start_stream(200, "text/event-stream", headers, net::stream_framing::connection);
    (void)exchange.write_chunk("id: " + number + "\ndata: piece\n\n" + (is_inside ? "id: " : ""));
}

void hosted_replica::count_while_cold(net::http_request const& request)
{
    constexpr std::chrono::seconds span { 1 };
    auto const now = std::chrono::steady_clock::now();
    if (now - m_started_at >= m_cold.duration)
        return;
    m_cold_arrivals.push_back(now);
    while (now - m_cold_arrivals.front() >= span)
        m_cold_arrivals.pop_front();
    if (m_cold_arrivals.size() > m_cold.limit)
        record_event("over", request);
}

void hosted_replica::answer_without_end(net::http_exchange& exchange, std::vector<net::http_header> const& headers)
{
    constexpr std::size_t piece_size = 65536;
    // A limit keeps a test from running on if the router never closes the connection.
    constexpr int max_pieces = 8192;
    auto const& target = exchange.request().target;
    bool const is_failure = target.find("/failing/") != std::string::npos;
    auto const* const type = target.find("/event/") != std::string::npos ? "text/event-stream" : "text/plain";
    std::string const piece(piece_size, 'x');
    if (!exchange.start_stream(is_failure ? 500 : 200, type, headers, framing_of(exchange.request())))
        return;
    for (int sent = 0; sent < max_pieces && exchange.write_chunk(piece); ++sent) { }
    exchange.abort_stream();
}

void hosted_replica::stream(net::http_exchange& exchange, std::vector<net::http_header> const& headers)
{
    auto const last = exchange.request().header("Last-Event-Id");
    bool const is_own = exchange.request().target.find("/own/") != std::string::npos;
    auto event_data = is_own ? exchange.request().header("Shedhill-Request-Id") : std::string("piece");
    if (is_own && !m_software.empty())
        event_data += "@" + m_software;
    auto const first = last.empty() ? 1 : std::stoi(last) + 1;
    if (!exchange.start_stream(200, "text/event-stream", headers, framing_of(exchange.request())))
        return;
    for (int number = first; number <= events_per_stream; ++number) {
        boost::this_fiber::sleep_for(m_interval);
        if (m_mode == "cut" && number == first + 3) {
            // The connection breaks within an event.
            (void)exchange.write_chunk("id: " + std::to_string(number) + "\ndata: ha");
            return exchange.abort_stream();
        }
        if (!exchange.write_chunk("id: " + std::to_string(number) + "\ndata: " + event_data + "\n\n"))
            return;
    }
    (void)exchange.end_stream();
}

} // namespace shedhill::stand_ins
