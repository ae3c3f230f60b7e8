// SPDX-License-Identifier: BSD-2-Clause
// Implements the test callers with the project's HTTP client.
#include "tests/harness/caller.h"

#include <boost/json.hpp>

namespace shedhill::harness {

namespace {

constexpr std::chrono::milliseconds call_timeout { 120000 };

net::http_request make_chat(
    std::string const& key, std::string const& model, std::string const& text, std::size_t tokens, bool is_streamed)
{
    boost::json::object const body { { "model", model }, { "stream", is_streamed }, { "max_tokens", tokens },
        { "messages", boost::json::array { { { "role", "user" }, { "content", text } } } } };
    return { "POST", "/v1/chat/completions",
        { { "authorization", "Bearer " + key }, { "content-type", "application/json" } },
        boost::json::serialize(body) };
}

void parse_event(std::string const& line, chat_answer& answer, bool& is_done)
{
    if (line.starts_with("event: error"))
        answer.has_error_event = true;
    if (line.starts_with("data: [DONE]"))
        is_done = true;
    else if (line.starts_with("data: {\"choices\"")) {
        auto const json = boost::json::parse(line.substr(6));
        answer.text += json.at("choices").as_array().at(0).at("delta").at("content").as_string();
        ++answer.tokens;
    }
}

} // namespace

chat_answer request_chat(std::string const& router, std::string const& key, std::string const& model,
    std::string const& text, std::size_t tokens)
{
    return request_chat_with(*net::http_call::create(), router, key, model, text, tokens);
}

result<net::http_response> call_chat_unstreamed(std::string const& router, std::string const& key,
    std::string const& model, std::string const& text, std::size_t tokens)
{
    return net::fetch(router, make_chat(key, model, text, tokens, false), call_timeout);
}

chat_answer request_chat_with(net::http_call& call, std::string const& router, std::string const& key,
    std::string const& model, std::string const& text, std::size_t tokens)
{
    auto const request = make_chat(key, model, text, tokens, true);
    chat_answer answer;
    std::string pending;
    auto is_done = false;
    auto const started = std::chrono::steady_clock::now();
    auto const elapsed = [&] {
        return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
    };
    auto const ended = call.run(
        router, request, call_timeout, [&](std::uint16_t status, std::string const&) { answer.status = status; },
        [&](std::string_view data) {
            if (pending.empty() && answer.tokens == 0) {
                answer.time_to_first_token = elapsed();
                answer.exact_time_to_first_token = std::chrono::steady_clock::now() - started;
            }
            pending += data;
            for (auto end = pending.find('\n'); end != std::string::npos; end = pending.find('\n')) {
                parse_event(pending.substr(0, end), answer, is_done);
                pending.erase(0, end + 1);
            }
        });
    answer.total_time = elapsed();
    answer.is_whole = ended == net::http_call_outcome::complete && is_done;
    return answer;
}

std::string expected_text(std::string const& text, std::size_t tokens)
{
    std::string expected;
    for (std::size_t index = 0; index < tokens; ++index)
        expected += text + "#" + std::to_string(index) + " ";
    return expected;
}

result<net::http_response> call_service(std::string const& router, std::string const& key, std::string const& target,
    std::string const& body, std::string const& idempotency_key)
{
    net::http_request request { "POST", target, { { "authorization", "Bearer " + key } }, body };
    if (!idempotency_key.empty()) {
        request.headers.push_back({ "x-shedhill-not-repeatable", "true" });
        request.headers.push_back({ "idempotency-key", idempotency_key });
    }
    return net::fetch(router, request, call_timeout);
}

std::string header_of(net::http_response const& response, std::string const& name)
{
    net::http_request const headers { {}, {}, response.headers, {} };
    return headers.header(name);
}

} // namespace shedhill::harness
