// SPDX-License-Identifier: BSD-2-Clause
// Requests over one kept connection, by Boost.Beast.
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

constexpr std::chrono::milliseconds connect_limit { 1000 };
constexpr std::chrono::milliseconds pause_between_tries { 20 };
// No final answer may take longer: the deadline, and much for a busy machine and for routers that were paused.
constexpr std::chrono::milliseconds answer_limit { 30000 };
constexpr char const* deadline_ms = "6000";
constexpr std::size_t one_leaves_in = 20;
constexpr std::size_t leaving_spread_ms = 40;
constexpr std::size_t pause_spread_ms = 30;
constexpr std::size_t forms = 4;
constexpr std::size_t piece_size = 4096;

http::request<http::string_body> make_message(caller_request const& asked)
{
    http::request<http::string_body> message;
    message.method_string(method_of(asked.form));
    message.target(target_of(asked.form));
    message.version(11);
    message.set(http::field::host, "shop.example");
    message.set("Shedhill-Request-Id", asked.id);
    message.set("Shedhill-Deadline-Ms", deadline_ms);
    message.set(http::field::authorization, "Bearer key-1");
    if (asked.form != request_form::look)
        message.body() = "order of " + asked.id;
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
            boost::this_fiber::sleep_for(pause_between_tries);
            continue;
        }
        ask_once();
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
    auto made = std::make_unique<beast::tcp_stream>(net::process_io_context());
    made->expires_after(connect_limit);
    if (await_io([&](auto handler) { made->async_connect(*address, std::move(handler)); }).failure)
        return false;
    m_stream = std::move(made);
    return true;
}

void soak_caller::ask_once()
{
    caller_request asked;
    asked.id = m_name + "-" + std::to_string(++m_asked);
    asked.form = static_cast<request_form>(m_draw.next_below(forms));
    asked.router = m_router;
    asked.asked_at = soak_clock::now();
    exchange(asked);
    asked.ended_at = soak_clock::now();
    m_record.requests.push_back(std::move(asked));
}

void soak_caller::exchange(caller_request& asked)
{
    bool const is_leaving = m_draw.next_below(one_leaves_in) == 0;
    m_stream->expires_after(
        is_leaving ? std::chrono::milliseconds(1 + m_draw.next_below(leaving_spread_ms)) : answer_limit);
    auto const message = make_message(asked);
    auto const end_at = [&](boost::system::error_code failure, caller_end end) {
        if (failure == beast::error::timeout)
            end = is_leaving ? caller_end::left : caller_end::unanswered;
        asked.end = end;
        m_stream.reset();
    };
    auto outcome = await_io([&](auto handler) { http::async_write(*m_stream, message, std::move(handler)); });
    if (outcome.failure)
        return end_at(outcome.failure, caller_end::closed);
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    outcome = await_io([&](auto handler) { http::async_read_header(*m_stream, buffer, parser, std::move(handler)); });
    if (outcome.failure)
        return end_at(outcome.failure, buffer.size() == 0 ? caller_end::closed : caller_end::broken);
    asked.status = parser.get().result_int();
    asked.answered_id = std::string(parser.get()["Shedhill-Request-Id"]);
    asked.signature = std::string(parser.get()["Shedhill-Server-Signature"]);
    std::array<char, piece_size> piece {};
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        outcome = await_io([&](auto handler) { http::async_read_some(*m_stream, buffer, parser, std::move(handler)); });
        if (outcome.failure && outcome.failure != http::error::need_buffer)
            return end_at(outcome.failure, caller_end::broken);
        asked.body.append(piece.data(), piece.size() - parser.get().body().size);
    }
    asked.end = caller_end::whole;
    if (!parser.get().keep_alive())
        m_stream.reset();
}

} // namespace shedhill::soak
