// SPDX-License-Identifier: BSD-2-Clause
// Runs, streams and faults.
#include "tests/stand_ins/hosted_replica.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>
#include <cstdlib>

namespace shedhill::stand_ins {

namespace {

// A mute replica says nothing for so long.
constexpr std::chrono::milliseconds mute_for { 20000 };
constexpr char const* rest_seconds = "2";

bool turns_away(std::string const& mode) { return mode == "busy" || mode == "rest" || mode == "rest_once"; }

} // namespace

hosted_replica::hosted_replica(
    std::string incarnation, std::chrono::milliseconds interval, std::string const& runs_file, cold_start cold)
    : m_incarnation(std::move(incarnation))
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
        auto const wanted = std::string(boost::json::parse(request.body).at("mode").as_string());
        m_is_leaving |= wanted == "leaving";
        if (wanted != "leaving")
            m_mode = wanted;
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

void hosted_replica::note(char const* event, net::http_request const& request)
{
    if (m_runs_file.is_open())
        m_runs_file << event << ' ' << request.header("Shedhill-Request-Id") << ' ' << request.method << ' '
                    << request.target << ' ' << m_incarnation << ' '
                    << std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::steady_clock::now().time_since_epoch())
                           .count()
                    << std::endl;
}

std::vector<net::http_header> hosted_replica::usual_headers(net::http_request const& request)
{
    std::vector<net::http_header> headers { { "Shedhill-Request-Id", request.header("Shedhill-Request-Id") } };
    if (!m_is_leaving)
        return headers;
    headers.push_back({ "Server-Leaving", "1" });
    note("told_leaving", request);
    return headers;
}

void hosted_replica::turn_away(net::http_exchange& exchange)
{
    auto headers = usual_headers(exchange.request());
    headers.push_back({ "Shedhill-Not-Executed", "1" });
    if (m_mode != "busy") {
        headers.push_back({ "Retry-After", rest_seconds });
        note("asked_rest", exchange.request());
    }
    if (m_mode == "rest_once")
        m_mode = "ok";
    (void)exchange.respond({ 503, headers, "text/plain", "full\n" });
}

void hosted_replica::run(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const id = request.header("Shedhill-Request-Id");
    note("arrived", request);
    if (auto const expected = request.header("Shedhill-Expect-Instance");
        !expected.empty() && expected != m_incarnation) {
        (void)exchange.respond({ 421, { { "Shedhill-Request-Id", id } }, "text/plain", "another\n" });
        return;
    }
    count_while_cold(request);
    if (turns_away(m_mode))
        return turn_away(exchange);
    ++m_runs[id];
    note("ran", request);
    if (request.target.find("/crash/") != std::string::npos)
        crash(request);
    if (m_mode == "mute") {
        boost::this_fiber::sleep_for(mute_for);
        return exchange.abort_stream();
    }
    auto headers = usual_headers(request);
    headers.push_back({ "Shedhill-Server-Signature", "signed-by-" + m_incarnation });
    if (m_mode == "fail") {
        (void)exchange.respond({ 500, headers, "text/plain", "failed\n" });
        return;
    }
    if (request.target.starts_with("/stream/"))
        return stream(exchange, headers);
    boost::this_fiber::sleep_for(m_interval);
    if (m_mode == "cut")
        return exchange.abort_stream();
    (void)exchange.respond({ 200, headers, "text/plain",
        "team=" + request.header("Shedhill-Tenant") + " key=" + request.header("Authorization")
            + " body=" + request.body });
}

void hosted_replica::crash(net::http_request const& request)
{
    boost::this_fiber::sleep_for(m_interval);
    note("crashed", request);
    std::_Exit(EXIT_FAILURE);
}

void hosted_replica::count_while_cold(net::http_request const& request)
{
    constexpr std::chrono::seconds span { 1 };
    auto const now = std::chrono::steady_clock::now();
    if (now - m_started_at >= m_cold.lasts)
        return;
    m_cold_arrivals.push_back(now);
    while (now - m_cold_arrivals.front() >= span)
        m_cold_arrivals.pop_front();
    if (m_cold_arrivals.size() > m_cold.limit)
        note("over", request);
}

void hosted_replica::stream(net::http_exchange& exchange, std::vector<net::http_header> const& headers)
{
    auto const last = exchange.request().header("Last-Event-Id");
    bool const is_own = exchange.request().target.find("/own/") != std::string::npos;
    auto const piece = is_own ? exchange.request().header("Shedhill-Request-Id") : std::string("piece");
    auto const first = last.empty() ? 1 : std::stoi(last) + 1;
    if (!exchange.start_stream(200, "text/event-stream", headers))
        return;
    for (int number = first; number <= events_of_a_stream; ++number) {
        boost::this_fiber::sleep_for(m_interval);
        if (m_mode == "cut" && number == first + 3) {
            // In the middle of an event.
            (void)exchange.write_chunk("id: " + std::to_string(number) + "\ndata: ha");
            return exchange.abort_stream();
        }
        if (!exchange.write_chunk("id: " + std::to_string(number) + "\ndata: " + piece + "\n\n"))
            return;
    }
    (void)exchange.end_stream();
}

} // namespace shedhill::stand_ins
