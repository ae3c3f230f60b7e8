// SPDX-License-Identifier: BSD-2-Clause
// A caller of the fleet, as a test sees it.
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
    // The stream ended with its last chunk and "[DONE]".
    bool is_whole { false };
    bool has_error_event { false };
    std::chrono::milliseconds first_token { 0 };
    std::chrono::steady_clock::duration first_token_exact { 0 };
    std::chrono::milliseconds total { 0 };
};

// Asks for a streamed completion of the text, and waits for its end. Suspends the fiber.
chat_answer ask(std::string const& router, std::string const& key, std::string const& model, std::string const& text,
    std::size_t tokens);

// The same over a call that the test may cancel.
chat_answer ask_with(net::http_call& call, std::string const& router, std::string const& key, std::string const& model,
    std::string const& text, std::size_t tokens);

// Asks for a completion in one piece.
result<net::http_response> call_chat_unstreamed(std::string const& router, std::string const& key,
    std::string const& model, std::string const& text, std::size_t tokens);

// What a whole answer to the text looks like.
std::string expected_text(std::string const& text, std::size_t tokens);

// Calls a plain service once, marked as not repeatable when there is an idempotency key.
result<net::http_response> call_service(std::string const& router, std::string const& key, std::string const& target,
    std::string const& body, std::string const& idempotency_key);

std::string header_of(net::http_response const& response, std::string const& name);

} // namespace shedhill::harness
