// SPDX-License-Identifier: BSD-2-Clause
// Sends requests over one persistent connection with Boost.Beast.
#include "tests/soak/soak_caller.h"

#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"

#include <array>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/fiber/operations.hpp>

namespace shedhill::soak {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using net::await_io;

constexpr std::chrono::milliseconds connect_timeout { 1000 };
constexpr std::chrono::milliseconds retry_pause { 20 };
// Longest time until a final answer: the request's deadline plus a wide margin for a busy machine and paused routers.
constexpr std::chrono::milliseconds answer_timeout { 30000 };
constexpr char const* deadline_ms = "6000";
// The caller abandons one in this many requests before the answer.
constexpr std::size_t requests_per_abandoned_request = 20;
constexpr std::size_t requests_per_unframed_request = 3;
constexpr std::size_t abandon_spread_ms = 40;
constexpr std::size_t pause_spread_ms = 30;
constexpr std::size_t request_forms = 4;
constexpr std::size_t chunk_size = 4096;

http::request<http::string_body> make_message(caller_request const& request)
{
    http::request<http::string_body> message;
    message.method_string(method_of(request.form));
    message.target(target_of(request));
    message.version(11);
    message.set(http::field::host, "shop.example");
    message.set("Shedhill-Request-Id", request.id);
    message.set("Shedhill-Deadline-Ms", deadline_ms);
    message.set(http::field::authorization, "Bearer key-1");
    if (!request.first_request.empty()) {
        message.set("Last-Event-Id", std::to_string(request.last_event));
        message.set("Resumes", request.first_request);
    }
    if (request.form != request_form::look)
        message.body() = "order of " + request.id;
    message.prepare_payload();
    return message;
}

} // namespace

soak_caller::soak_caller(harness::hosted_fleet& fleet, soak_record& record, std::string name, std::uint64_t seed)
    : m_fleet(fleet)
    , m_record(record)
    , m_name(std::move(name))
    , m_draw(seed)
{
}

void soak_caller::run(bool const& is_over)
{
    while (!is_over) {
        if (!m_stream && !connect()) {
            boost::this_fiber::sleep_for(retry_pause);
            continue;
        }
        send_request();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(m_draw.next_below(pause_spread_ms)));
    }
}

bool soak_caller::connect()
{
    m_router = m_draw.next_below(m_fleet.options().routers);
    if (!m_fleet.router(m_router).is_running())
        return false;
    auto const address = net::parse_address(m_fleet.router(m_router).address("callers"));
    if (!address)
        return false;
    auto stream = std::make_unique<beast::tcp_stream>(net::process_io_context());
    stream->expires_after(connect_timeout);
    if (await_io([&](auto handler) { stream->async_connect(*address, std::move(handler)); }).failure)
        return false;
    m_stream = std::move(stream);
    return true;
}

void soak_caller::send_request()
{
    caller_request request;
    request.id = m_name + "-" + std::to_string(++m_sent_requests);
    request.form = static_cast<request_form>(m_draw.next_below(request_forms));
    request.is_unframed = m_sent_requests % requests_per_unframed_request == 0;
    if (auto const broken = std::exchange(m_broken_stream, std::nullopt)) {
        request.form = request_form::stream;
        request.first_request = broken->first_request.empty() ? broken->id : broken->first_request;
        request.last_event = broken->last_event + broken->events();
    }
    request.router = m_router;
    request.sent_at = soak_clock::now();
    exchange(request);
    request.ended_at = soak_clock::now();
    bool const is_partial = request.end == caller_end::broken || request.end == caller_end::left;
    if (request.form == request_form::stream && is_partial && request.last_event + request.events() > 0)
        m_broken_stream = request;
    m_record.requests.push_back(std::move(request));
}

void soak_caller::exchange(caller_request& request)
{
    bool const is_abandoned = m_draw.next_below(requests_per_abandoned_request) == 0;
    m_stream->expires_after(
        is_abandoned ? std::chrono::milliseconds(1 + m_draw.next_below(abandon_spread_ms)) : answer_timeout);
    auto const message = make_message(request);
    auto const end_with = [&](boost::system::error_code failure, caller_end end) {
        if (failure == beast::error::timeout)
            end = is_abandoned ? caller_end::left : caller_end::unanswered;
        request.end = end;
        m_stream.reset();
    };
    auto outcome = await_io([&](auto handler) { http::async_write(*m_stream, message, std::move(handler)); });
    if (outcome.failure)
        return end_with(outcome.failure, caller_end::closed);
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    outcome = await_io([&](auto handler) { http::async_read_header(*m_stream, buffer, parser, std::move(handler)); });
    if (outcome.failure)
        return end_with(outcome.failure, buffer.size() == 0 ? caller_end::closed : caller_end::broken);
    request.status = parser.get().result_int();
    request.answered_id = std::string(parser.get()["Shedhill-Request-Id"]);
    request.signature = std::string(parser.get()["Shedhill-Server-Signature"]);
    request.has_marked_end = !parser.need_eof();
    std::array<char, chunk_size> chunk {};
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        outcome = await_io([&](auto handler) { http::async_read_some(*m_stream, buffer, parser, std::move(handler)); });
        if (outcome.failure && outcome.failure != http::error::need_buffer)
            return end_with(outcome.failure, caller_end::broken);
        request.body.append(chunk.data(), chunk.size() - parser.get().body().size);
    }
    request.end = caller_end::whole;
    if (!parser.get().keep_alive())
        m_stream.reset();
}

} // namespace shedhill::soak
