// SPDX-License-Identifier: BSD-2-Clause
// HTTP client calls. Each call opens its own connection, so that it can distinguish a request that was not sent from
// one that may have been sent.
#include "libraries/net/address.h"
#include "libraries/net/answer_reader.h"
#include "libraries/net/await.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/net/http.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace shedhill::net {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::milliseconds max_connect_time { 2000 };

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
        return read_answer(address, head, data);
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

    http_call_outcome read_answer(std::string const& address, on_head const& head, on_data const& data)
    {
        detail::answer_reader reader(m_stream, address);
        if (!reader.read_head())
            return failure_outcome();
        head(static_cast<std::uint16_t>(reader.head().result_int()),
            std::string(reader.head()[http::field::content_type]));
        while (true) {
            auto const part = reader.read_part();
            if (!part)
                return failure_outcome();
            if (m_is_cancelled)
                return http_call_outcome::cancelled;
            if (part->empty())
                return http_call_outcome::complete;
            data(*part);
        }
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
    detail::answer_reader reader(stream, address);
    TRY_VOID(reader.read_head());
    http_response response;
    response.status = static_cast<std::uint16_t>(reader.head().result_int());
    response.content_type = std::string(reader.head()[http::field::content_type]);
    for (auto const& field : reader.head())
        response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    for (auto part = TRY(reader.read_part()); !part.empty(); part = TRY(reader.read_part())) {
        if (part.size() > max_fetched_body_bytes - response.body.size())
            return fail(
                "read answer", address, "the body exceeds " + std::to_string(max_fetched_body_bytes) + " bytes");
        response.body += part;
    }
    return response;
}

} // namespace shedhill::net
