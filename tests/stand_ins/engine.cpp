// SPDX-License-Identifier: BSD-2-Clause
// The engine's answer repeats the text of the last message before the number of each token, so that a test
// recognizes the answer to its own request.
#include "tests/stand_ins/engine.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

namespace shedhill::stand_ins {

namespace {

constexpr std::int64_t default_tokens = 16;
constexpr std::chrono::seconds stall_time { 30 };

std::string last_content(boost::json::value const& body)
{
    auto const& messages = body.at("messages").as_array();
    return messages.empty() ? std::string() : std::string(messages.back().at("content").as_string());
}

net::http_response json_response(std::string body) { return { 200, {}, "application/json", std::move(body) }; }

} // namespace

void engine::serve(net::http_exchange& exchange)
{
    auto const& target = exchange.request().target;
    if (target == "/v1/chat/completions")
        serve_chat(exchange);
    else if (target == "/control")
        control(exchange);
    else
        (void)exchange.respond(json_response(target == "/load" ? delayed_load() : boost::json::serialize(load())));
}

void engine::serve_chat(net::http_exchange& exchange)
{
    auto const body = boost::json::parse(exchange.request().body);
    auto const text = last_content(body);
    auto const* max_tokens = body.as_object().if_contains("max_tokens");
    auto const tokens = max_tokens == nullptr ? default_tokens : max_tokens->to_number<std::int64_t>();
    auto const* streamed = body.as_object().if_contains("stream");
    {
        std::unique_lock lock(m_mutex);
        m_slot_freed.wait(lock, [this] { return m_running < m_slots; });
        ++m_running;
    }
    ++m_started;
    m_max_running = std::max(m_max_running, m_running);
    if (streamed != nullptr && streamed->as_bool()) {
        stream(exchange, text, tokens);
    } else {
        boost::this_fiber::sleep_for(m_token_interval * tokens);
        std::string answer;
        for (std::int64_t index = 0; index < tokens; ++index)
            answer += text + "#" + std::to_string(index) + " ";
        boost::json::object const json { { "choices",
                                             boost::json::array { { { "message", { { "content", answer } } } } } },
            { "usage", { { "prompt_tokens", text.size() / 4 }, { "completion_tokens", tokens } } } };
        if (m_mode == "cut")
            exchange.abort_stream();
        else
            (void)exchange.respond(json_response(boost::json::serialize(json)));
        m_tokens += static_cast<std::uint64_t>(tokens);
        ++m_completed;
    }
    --m_running;
    m_slot_freed.notify_one();
}

void engine::stream(net::http_exchange& exchange, std::string const& text, std::int64_t tokens)
{
    boost::this_fiber::sleep_for(m_delay);
    if (!exchange.start_stream(200, "text/event-stream", {}))
        return;
    if (text == "endless")
        return stream_without_end(exchange);
    for (std::int64_t index = 0; index < tokens; ++index) {
        boost::this_fiber::sleep_for(m_token_interval);
        auto const is_faulty = m_mode != "ok" && index >= m_fault_after;
        if (is_faulty && m_mode == "stall")
            boost::this_fiber::sleep_for(stall_time);
        if (is_faulty && m_mode == "cut") {
            exchange.abort_stream();
            return;
        }
        boost::json::object const event { { "choices",
            boost::json::array { { { "delta", { { "content", text + "#" + std::to_string(index) + " " } } } } } } };
        auto const line = "data: " + boost::json::serialize(event) + "\n\n";
        if (!exchange.write_chunk(is_faulty && m_mode == "twice" ? line + line : line))
            return;
        ++m_tokens;
    }
    (void)exchange.write_chunk("data: [DONE]\n\n");
    if (exchange.end_stream())
        ++m_completed;
}

void engine::stream_without_end(net::http_exchange& exchange)
{
    constexpr std::size_t piece_size = 65536;
    // A limit keeps a test from running on if nobody closes the connection.
    constexpr int max_pieces = 16384;
    auto const event = "data: " + std::string(piece_size, 'x') + "\n\n";
    for (int sent = 0; sent < max_pieces && exchange.write_chunk(event); ++sent) { }
    exchange.abort_stream();
}

void engine::control(net::http_exchange& exchange)
{
    auto const body = boost::json::parse(exchange.request().body);
    m_mode = std::string(body.at("mode").as_string());
    auto const* after = body.as_object().if_contains("after");
    m_fault_after = after == nullptr ? 0 : after->to_number<std::int64_t>();
    auto const* delay = body.as_object().if_contains("delay_ms");
    m_delay = std::chrono::milliseconds(delay == nullptr ? 0 : delay->to_number<std::int64_t>());
    (void)exchange.respond(json_response("{}"));
}

boost::json::object engine::load() const
{
    return { { "running", m_running }, { "most_running", m_max_running }, { "started", m_started },
        { "whole", m_completed }, { "tokens", m_tokens } };
}

std::string engine::delayed_load()
{
    constexpr std::chrono::milliseconds report_interval { 500 };
    auto const now = std::chrono::steady_clock::now();
    if (now - m_reported_at >= report_interval) {
        m_reported_load = boost::json::serialize(load());
        m_reported_at = now;
    }
    return m_reported_load;
}

} // namespace shedhill::stand_ins
