// SPDX-License-Identifier: BSD-2-Clause
// Parses the two kinds of requests. A chat completion names its pool in the field 'model'; a call of a plain service
// names it in its path, /services/POOL/PATH.
#include "libraries/edge/request_parser.h"

#include "libraries/net/keys.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>

namespace shedhill::edge {

namespace {

constexpr std::string_view chat_target = "/v1/chat/completions";
constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
// In bytes.
constexpr std::size_t max_idempotency_key_size = 200;
constexpr std::int64_t max_deadline_ms = 3600000;
// Headers of the caller that are forwarded to the endpoint. Other headers concern the caller's connection or the fleet.
constexpr std::array<char const*, 4> forwarded_headers { "content-type", "accept", "idempotency-key", "x-request-id" };

tl::unexpected<error> refuse(std::string const& reason) { return fail("read request", "caller", reason); }

result<void> parse_chat_request(net::http_request const& received, router::caller_request& parsed)
{
    if (received.method != "POST")
        return refuse("chat completions are asked for by POST");
    boost::system::error_code failure;
    auto const json = boost::json::parse(received.body, failure);
    if (failure || !json.is_object())
        return refuse("the body is not a JSON object");
    auto const* model = json.as_object().if_contains("model");
    if (model == nullptr || !model->is_string() || model->as_string().empty())
        return refuse("'model' must be a string");
    auto const* messages = json.as_object().if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return refuse("'messages' must be a list");
    auto const* stream = json.as_object().if_contains("stream");
    if (stream != nullptr && !stream->is_bool())
        return refuse("'stream' must be true or false");
    parsed.pool = pool_name(std::string(model->as_string()));
    parsed.is_streamed = stream != nullptr && stream->as_bool();
    parsed.target = std::string(chat_target);
    return {};
}

result<void> parse_service_request(net::http_request const& received, router::caller_request& parsed)
{
    auto const pool_and_path = received.target.substr(services_prefix.size());
    auto const slash = pool_and_path.find('/');
    if (slash == std::string::npos || slash == 0)
        return refuse("a service is called as /services/NAME/PATH");
    parsed.pool = pool_name(pool_and_path.substr(0, slash));
    parsed.target = pool_and_path.substr(slash);
    parsed.is_model_call = false;
    return {};
}

result<void> parse_options(net::http_request const& received, router::caller_request& parsed)
{
    auto const not_repeatable = received.header(not_repeatable_header);
    if (!not_repeatable.empty() && not_repeatable != "true" && not_repeatable != "false")
        return refuse(std::string(not_repeatable_header) + " must be true or false");
    parsed.is_repeatable = not_repeatable != "true";
    parsed.idempotency_key = received.header(idempotency_header);
    if (parsed.idempotency_key.size() > max_idempotency_key_size)
        return refuse("the idempotency key is too long");
    auto const deadline = received.header(deadline_header);
    if (deadline.empty())
        return {};
    std::int64_t deadline_ms = 0;
    auto const* end = deadline.data() + deadline.size();
    auto const [stop, problem] = std::from_chars(deadline.data(), end, deadline_ms);
    if (problem != std::errc() || stop != end || deadline_ms < 1 || deadline_ms > max_deadline_ms)
        return refuse(std::string(deadline_header) + " must be a whole number from 1 to 3600000");
    parsed.time_left = milliseconds(deadline_ms);
    return {};
}

} // namespace

result<router::caller_request> parse_request(net::http_request const& received, request_number number)
{
    router::caller_request parsed;
    parsed.request = number;
    parsed.method = received.method;
    auto const authorization = received.header("authorization");
    if (authorization.starts_with(bearer_prefix))
        parsed.key_hash = net::sha256_hex(std::string_view(authorization).substr(bearer_prefix.size()));
    if (received.target == chat_target)
        TRY_VOID(parse_chat_request(received, parsed));
    else if (received.target.starts_with(services_prefix))
        TRY_VOID(parse_service_request(received, parsed));
    else
        return refuse("nothing is served at " + received.target);
    TRY_VOID(parse_options(received, parsed));
    for (auto const* name : forwarded_headers) {
        if (auto value = received.header(name); !value.empty())
            parsed.headers.push_back({ name, std::move(value) });
    }
    parsed.body = received.body;
    return parsed;
}

} // namespace shedhill::edge
