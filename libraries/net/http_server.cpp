// SPDX-License-Identifier: BSD-2-Clause
// The HTTP server. Each connection is served by its own fiber.
#include "libraries/framing/message_head.h"
#include "libraries/net/address.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/net/fibers.h"
#include "libraries/net/http.h"
#include "libraries/net/http_input.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <cctype>

namespace shedhill::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

class server_exchange final : public http_exchange {
public:
    server_exchange(beast::tcp_stream& stream, http_limits const& limits, http_request received, bool keep_alive)
        : m_stream(stream)
        , m_limits(limits)
        , m_request(std::move(received))
        , m_keep_alive(keep_alive)
    {
    }

    [[nodiscard]] http_request const& request() const override { return m_request; }
    [[nodiscard]] bool has_answered() const { return m_has_answered; }
    [[nodiscard]] bool may_keep_alive() const { return m_keep_alive; }

    result<void> respond(http_response const& response) override
    {
        m_has_answered = true;
        m_disconnect_handler.reset();
        http::response<http::string_body> message;
        message.result(response.status);
        message.version(11);
        message.keep_alive(m_keep_alive);
        if (!response.content_type.empty())
            message.set(http::field::content_type, response.content_type);
        for (auto const& [name, value] : response.headers)
            message.set(name, value);
        message.body() = response.body;
        message.prepare_payload();
        m_stream.expires_after(m_limits.write_timeout);
        auto const outcome = await_io([&](auto handler) { http::async_write(m_stream, message, std::move(handler)); });
        return check_outcome(outcome, "write answer");
    }

    result<void> start_stream(std::uint16_t status, std::string const& content_type,
        std::vector<http_header> const& headers, stream_framing framing) override
    {
        m_has_answered = true;
        m_framing = framing;
        m_keep_alive = m_keep_alive && framing == stream_framing::chunks;
        http::response<http::empty_body> message;
        message.result(status);
        message.version(11);
        message.keep_alive(m_keep_alive);
        message.chunked(framing == stream_framing::chunks);
        if (!content_type.empty())
            message.set(http::field::content_type, content_type);
        for (auto const& [name, value] : headers)
            message.set(name, value);
        http::response_serializer<http::empty_body> serializer(message);
        m_stream.expires_after(m_limits.write_timeout);
        auto const outcome
            = await_io([&](auto handler) { http::async_write_header(m_stream, serializer, std::move(handler)); });
        return check_outcome(outcome, "write answer");
    }

    result<void> write_chunk(std::string_view data) override
    {
        if (data.empty())
            return {};
        m_stream.expires_after(m_limits.write_timeout);
        auto const outcome = await_io([&](auto handler) {
            if (m_framing == stream_framing::chunks)
                asio::async_write(m_stream, http::make_chunk(asio::buffer(data)), std::move(handler));
            else
                asio::async_write(m_stream, asio::buffer(data), std::move(handler));
        });
        return check_outcome(outcome, "write answer");
    }

    result<void> end_stream() override
    {
        m_disconnect_handler.reset();
        if (m_framing == stream_framing::connection)
            return {};
        m_stream.expires_after(m_limits.write_timeout);
        auto const outcome
            = await_io([&](auto handler) { asio::async_write(m_stream, http::make_chunk_last(), std::move(handler)); });
        return check_outcome(outcome, "write answer");
    }

    void abort_stream() override
    {
        m_disconnect_handler.reset();
        m_keep_alive = false;
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
        m_stream.close();
    }

    void set_disconnect_handler(std::function<void()> on_disconnect) override
    {
        m_disconnect_handler = std::make_shared<std::function<void()>>(std::move(on_disconnect));
        m_stream.socket().async_wait(tcp::socket::wait_read,
            [weak = std::weak_ptr(m_disconnect_handler), &socket = m_stream.socket()](
                boost::system::error_code failure) {
                auto const callback = weak.lock();
                if (!callback || failure == asio::error::operation_aborted)
                    return;
                boost::system::error_code problem;
                // A readable socket without available bytes is closed. Available bytes belong to a pipelined request.
                if (failure || socket.available(problem) == 0)
                    (*callback)();
            });
    }

private:
    result<void> check_outcome(io_outcome const& outcome, std::string const& step)
    {
        if (!outcome.failure)
            return {};
        m_keep_alive = false;
        return fail(step, "caller", outcome.failure.message());
    }

    beast::tcp_stream& m_stream;
    http_limits const& m_limits;
    http_request m_request;
    bool m_keep_alive;
    bool m_has_answered { false };
    stream_framing m_framing { stream_framing::chunks };
    // Null while the connection is not watched; a completion handler that runs late finds its weak pointer expired.
    std::shared_ptr<std::function<void()>> m_disconnect_handler;
};

http_request to_request(http::request<http::string_body> message)
{
    http_request received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    for (auto const& field : message)
        received.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    received.body = std::move(message.body());
    return received;
}

std::uint16_t status_of_read_failure(boost::system::error_code failure)
{
    if (failure == http::error::body_limit)
        return 413;
    if (failure == http::error::header_limit)
        return 431;
    if (failure == beast::error::timeout)
        return 408;
    return 400;
}

bool is_disconnect(boost::system::error_code failure)
{
    return failure == http::error::end_of_stream || failure == asio::error::connection_reset
        || failure == asio::error::operation_aborted;
}

void refuse_invalid_request(
    beast::tcp_stream& stream, http_limits const& limits, std::uint16_t status, std::string const& reason)
{
    server_exchange exchange(stream, limits, {}, false);
    http_response refusal;
    refusal.status = status;
    refusal.content_type = "application/json";
    refusal.headers.push_back({ "x-shedhill-outcome", "not-run" });
    boost::json::object const error { { "type", "bad_request" }, { "outcome", "not-run" }, { "reason", reason } };
    refusal.body = boost::json::serialize(boost::json::object { { "error", error } }) + "\n";
    // A failure to send is ignored: the caller has closed the connection.
    (void)exchange.respond(refusal);
}

// Reads the rest of the request whose head the buffer holds, without the trailer fields of a chunked body. A chunk line
// or a trailer has the limit of a head.
boost::system::error_code read_message(beast::tcp_stream& stream, beast::flat_buffer& buffer,
    std::size_t max_head_bytes, http::request_parser<http::string_body>& parser, http::request_header<>& head)
{
    boost::system::error_code failure;
    buffer.consume(parser.put(buffer.data(), failure));
    if (failure)
        return failure;
    head = parser.get().base();
    parser.eager(true);
    while (!parser.is_done()) {
        auto const min_size = parser.chunked() ? framing::min_rest_of_chunks : 1;
        failure = http::error::need_more;
        if (buffer.size() >= min_size)
            buffer.consume(parser.put(buffer.data(), failure));
        if (failure == http::error::need_more && buffer.size() > max_head_bytes)
            failure = http::error::header_limit;
        if (failure == http::error::need_more)
            failure = detail::receive(stream, buffer);
        if (failure)
            return failure;
    }
    return {};
}

void serve(tcp::socket socket, http_limits const& limits, http_server::handler const& handle)
{
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    for (auto keep_alive = true; keep_alive;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
        parser.body_limit(limits.body_bytes);
        stream.expires_after(limits.read_timeout);
        auto failure = detail::read_head(stream, buffer, limits.header_bytes);
        auto const head_error = failure ? std::nullopt : framing::check_head(detail::view_of(buffer));
        http::request_header<> head;
        if (!failure && !head_error)
            failure = read_message(stream, buffer, limits.header_bytes, parser, head);
        if (is_disconnect(failure))
            break;
        if (failure || head_error) {
            refuse_invalid_request(
                stream, limits, status_of_read_failure(failure), head_error ? to_text(*head_error) : failure.message());
            break;
        }
        stream.expires_never();
        keep_alive = parser.get().keep_alive();
        auto message = parser.release();
        message.base() = std::move(head);
        server_exchange exchange(stream, limits, to_request(std::move(message)), keep_alive);
        handle(exchange);
        keep_alive = exchange.may_keep_alive() && exchange.has_answered();
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

class listening_server final : public http_server {
public:
    listening_server(tcp::acceptor acceptor, http_limits const& limits, handler handle)
        : m_acceptor(std::move(acceptor))
        , m_shared(std::make_shared<shared_state>(shared_state { limits, std::move(handle) }))
    {
        accept_next();
    }

    [[nodiscard]] std::uint16_t port() const override { return m_acceptor.local_endpoint().port(); }

    void close() override
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
    }

private:
    // Open connections share this state, which can outlive the server.
    struct shared_state {
        http_limits limits;
        handler handle;
    };

    void accept_next()
    {
        m_acceptor.async_accept([this](boost::system::error_code failure, tcp::socket socket) {
            if (failure == asio::error::operation_aborted)
                return;
            if (!failure) {
                auto shared_socket = std::make_shared<tcp::socket>(std::move(socket));
                start_fiber([shared = m_shared, shared_socket] {
                    serve(std::move(*shared_socket), shared->limits, shared->handle);
                });
            }
            accept_next();
        });
    }

    tcp::acceptor m_acceptor;
    std::shared_ptr<shared_state> m_shared;
};

} // namespace

std::string http_request::header(std::string_view name) const
{
    auto const found = std::ranges::find_if(
        headers, [&](http_header const& candidate) { return beast::iequals(candidate.name, name); });
    return found == headers.end() ? std::string() : found->value;
}

result<std::unique_ptr<http_server>> http_server::open(
    std::string const& address, http_limits const& limits, handler handle)
{
    auto acceptor = TRY(open_acceptor(address));
    return std::make_unique<listening_server>(std::move(acceptor), limits, std::move(handle));
}

} // namespace shedhill::net
