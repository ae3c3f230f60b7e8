// SPDX-License-Identifier: BSD-2-Clause
// POST /v1/chat/completions names its pool as the model; /services/POOL/PATH names it in the path.
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
constexpr std::size_t most_idempotency_key = 200;
constexpr std::int64_t most_deadline = 3600000;
// Headers of the caller that reach the engine or service; the others belong to this connection or to the fleet.
constexpr std::array<char const*, 4> forwarded_headers { "content-type", "accept", "idempotency-key", "x-request-id" };

tl::unexpected<error> refuse(std::string const& reason) { return fail("read request", "caller", reason); }

result<void> read_chat(net::http_request const& received, router::caller_request& parsed)
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

result<void> read_service(net::http_request const& received, router::caller_request& parsed)
{
    auto const rest = received.target.substr(services_prefix.size());
    auto const slash = rest.find('/');
    if (slash == std::string::npos || slash == 0)
        return refuse("a service is called as /services/NAME/PATH");
    parsed.pool = pool_name(rest.substr(0, slash));
    parsed.target = rest.substr(slash);
    parsed.is_model_call = false;
    return {};
}

result<void> read_marks(net::http_request const& received, router::caller_request& parsed)
{
    auto const mark = received.header(not_repeatable_header);
    if (!mark.empty() && mark != "true" && mark != "false")
        return refuse(std::string(not_repeatable_header) + " must be true or false");
    parsed.is_repeatable = mark != "true";
    parsed.idempotency_key = received.header(idempotency_header);
    if (parsed.idempotency_key.size() > most_idempotency_key)
        return refuse("the idempotency key is too long");
    auto const deadline = received.header(deadline_header);
    if (deadline.empty())
        return {};
    std::int64_t limit = 0;
    auto const* end = deadline.data() + deadline.size();
    auto const [stop, problem] = std::from_chars(deadline.data(), end, limit);
    if (problem != std::errc() || stop != end || limit < 1 || limit > most_deadline)
        return refuse(std::string(deadline_header) + " must be a whole number from 1 to 3600000");
    parsed.time_left = milliseconds(limit);
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
        TRY_VOID(read_chat(received, parsed));
    else if (received.target.starts_with(services_prefix))
        TRY_VOID(read_service(received, parsed));
    else
        return refuse("nothing is served at " + received.target);
    TRY_VOID(read_marks(received, parsed));
    for (auto const* name : forwarded_headers) {
        if (auto value = received.header(name); !value.empty())
            parsed.headers.push_back({ name, std::move(value) });
    }
    parsed.body = received.body;
    return parsed;
}

} // namespace shedhill::edge
