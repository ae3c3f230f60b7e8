// SPDX-License-Identifier: BSD-2-Clause
// Records a run before the answer is sent, as a real service does.
#include "tests/stand_ins/service.h"

#include <boost/fiber/operations.hpp>

namespace shedhill::stand_ins {

void service::serve(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    if (request.target == "/runs") {
        boost::json::object counts;
        for (auto const& [key, count] : m_runs)
            counts[key] = count;
        (void)exchange.respond({ 200, {}, "application/json", boost::json::serialize(counts) });
        return;
    }
    if (request.target == "/control") {
        auto const body = boost::json::parse(request.body);
        m_mode = std::string(body.at("mode").as_string());
        auto const* delay = body.as_object().if_contains("delay_ms");
        m_delay = std::chrono::milliseconds(delay == nullptr ? 0 : delay->to_number<std::int64_t>());
        (void)exchange.respond({ 200, {}, "application/json", "{}" });
        return;
    }
    run(exchange);
}

void service::run(net::http_exchange& exchange)
{
    auto const& request = exchange.request();
    auto const key = request.header("idempotency-key");
    auto const count = ++m_runs[key.empty() ? request.target + request.body : key];
    boost::this_fiber::sleep_for(m_work_time + m_delay);
    if (m_mode == "cut") {
        exchange.abort_stream();
        return;
    }
    constexpr std::string_view empty_path = "/empty/";
    if (auto const found = request.target.rfind(empty_path); found != std::string::npos) {
        auto const status = std::stoi(request.target.substr(found + empty_path.size()));
        (void)exchange.respond({ static_cast<std::uint16_t>(status), {}, {}, {} });
        return;
    }
    if (request.target.ends_with("/endless"))
        return answer_without_end(exchange);
    boost::json::object const answer { { "path", request.target }, { "echo", request.body }, { "run", count } };
    (void)exchange.respond({ 200, {}, "application/json", boost::json::serialize(answer) });
}

void service::answer_without_end(net::http_exchange& exchange)
{
    constexpr std::size_t piece_size = 65536;
    // A limit keeps a test from running on if nobody closes the connection.
    constexpr int max_pieces = 16384;
    std::string const piece(piece_size, 'x');
    if (!exchange.start_stream(200, "text/plain", {}))
        return;
    for (int sent = 0; sent < max_pieces && exchange.write_chunk(piece); ++sent) { }
    exchange.abort_stream();
}

} // namespace shedhill::stand_ins
