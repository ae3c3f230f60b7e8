// SPDX-License-Identifier: BSD-2-Clause
// HTTP client calls. Each call opens its own connection, so that it can distinguish a request that was not sent from
// one that may have been sent.
#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/net/http.h"

#include <array>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace shedhill::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds max_connect_time { 2000 };
// The size in bytes of the buffer for one part of an answer.
constexpr std::size_t read_buffer_size = 16384;

http::request<http::string_body> to_message(std::string const& address, http_request const& sent)
{
    http::request<http::string_body> message;
    message.method_string(sent.method);
    message.target(sent.target);
    message.version(11);
    message.set(http::field::host, address);
    for (auto const& [name, value] : sent.headers)
        message.set(name, value);
    message.keep_alive(false);
    message.body() = sent.body;
    message.prepare_payload();
    return message;
}

class streamed_call final : public http_call {
public:
    streamed_call()
        : m_stream(process_io_context())
    {
    }

    http_call_outcome run(std::string const& address, http_request const& sent, std::chrono::milliseconds limit,
        on_head const& head, on_data const& data) override
    {
        auto const target = parse_address(address);
        if (!target || m_is_cancelled)
            return http_call_outcome::not_sent;
        m_stream.expires_after(std::min(max_connect_time, limit));
        if (await_io([&](auto handler) { m_stream.async_connect(*target, std::move(handler)); }).failure)
            return http_call_outcome::not_sent;
        boost::system::error_code ignored;
        m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        if (m_is_cancelled)
            return http_call_outcome::not_sent;
        m_stream.expires_after(limit);
        auto const message = to_message(address, sent);
        if (await_io([&](auto handler) { http::async_write(m_stream, message, std::move(handler)); }).failure)
            return failure_outcome();
        return read_answer(head, data);
    }

    void cancel() override
    {
        m_is_cancelled = true;
        m_stream.close();
    }

private:
    [[nodiscard]] http_call_outcome failure_outcome() const
    {
        return m_is_cancelled ? http_call_outcome::cancelled : http_call_outcome::interrupted;
    }

    http_call_outcome read_answer(on_head const& head, on_data const& data)
    {
        beast::flat_buffer buffer;
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        if (await_io([&](auto handler) {
                http::async_read_header(m_stream, buffer, parser, std::move(handler));
            }).failure)
            return failure_outcome();
        head(static_cast<std::uint16_t>(parser.get().result_int()),
            std::string(parser.get()[http::field::content_type]));
        std::array<char, read_buffer_size> read_buffer {};
        while (!parser.is_done()) {
            parser.get().body().data = read_buffer.data();
            parser.get().body().size = read_buffer.size();
            auto const outcome
                = await_io([&](auto handler) { http::async_read_some(m_stream, buffer, parser, std::move(handler)); });
            if (outcome.failure && outcome.failure != http::error::need_buffer)
                return failure_outcome();
            if (m_is_cancelled)
                return http_call_outcome::cancelled;
            auto const filled = read_buffer.size() - parser.get().body().size;
            if (filled > 0)
                data(std::string_view(read_buffer.data(), filled));
        }
        return http_call_outcome::complete;
    }

    beast::tcp_stream m_stream;
    bool m_is_cancelled { false };
};

} // namespace

std::shared_ptr<http_call> http_call::create() { return std::make_shared<streamed_call>(); }

result<http_response> fetch(std::string const& address, http_request const& sent, std::chrono::milliseconds limit)
{
    auto const target = TRY(parse_address(address));
    beast::tcp_stream stream(process_io_context());
    stream.expires_after(limit);
    auto outcome = await_io([&](auto handler) { stream.async_connect(target, std::move(handler)); });
    if (outcome.failure)
        return fail("connect", address, outcome.failure.message());
    auto const message = to_message(address, sent);
    outcome = await_io([&](auto handler) { http::async_write(stream, message, std::move(handler)); });
    if (outcome.failure)
        return fail("send request", address, outcome.failure.message());
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    outcome = await_io([&](auto handler) { http::async_read(stream, buffer, parser, std::move(handler)); });
    if (outcome.failure)
        return fail("read answer", address, outcome.failure.message());
    auto received = parser.release();
    http_response response;
    response.status = static_cast<std::uint16_t>(received.result_int());
    response.content_type = std::string(received[http::field::content_type]);
    for (auto const& field : received)
        response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    response.body = std::move(received.body());
    return response;
}

} // namespace shedhill::net
