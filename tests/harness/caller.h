// SPDX-License-Identifier: BSD-2-Clause
// Sends requests to the fleet's routers as a caller does, for tests.
#pragma once

#include "libraries/net/http.h"

#include <chrono>
#include <string>
#include <vector>

namespace shedhill::harness {

struct chat_answer {
    std::uint16_t status { 0 };
    // The concatenated contents of all streamed events.
    std::string text;
    std::size_t tokens { 0 };
    // The stream was complete: it ended with its last chunk and "[DONE]".
    bool is_whole { false };
    bool has_error_event { false };
    std::chrono::milliseconds time_to_first_token { 0 };
    std::chrono::steady_clock::duration exact_time_to_first_token { 0 };
    std::chrono::milliseconds total_time { 0 };
};

// Requests a streamed completion of the text and waits for its end. Suspends the fiber.
chat_answer request_chat(std::string const& router, std::string const& key, std::string const& model,
    std::string const& text, std::size_t tokens);

// As request_chat(), over a call that the test may cancel.
chat_answer request_chat_with(net::http_call& call, std::string const& router, std::string const& key,
    std::string const& model, std::string const& text, std::size_t tokens);

// Requests a completion that is not streamed.
result<net::http_response> call_chat_unstreamed(std::string const& router, std::string const& key,
    std::string const& model, std::string const& text, std::size_t tokens);

// Returns the content of a complete answer to the text.
std::string expected_text(std::string const& text, std::size_t tokens);

// Calls a plain service once. The request is marked as not repeatable if the idempotency key is not empty.
result<net::http_response> call_service(std::string const& router, std::string const& key, std::string const& target,
    std::string const& body, std::string const& idempotency_key);

// Returns the value of a header of the answer.
std::string header_of(net::http_response const& response, std::string const& name);

} // namespace shedhill::harness
