// SPDX-License-Identifier: BSD-2-Clause
// HTTP heads as Boost.Beast parses them, and functions that write heads and chunked bodies.
#pragma once

#include "libraries/framing/streamed_body.h"

#include <boost/beast/http.hpp>
#include <string>
#include <string_view>

namespace shedhill::relay {

namespace http = boost::beast::http;

using request_head = http::request_header<>;
using answer_head = http::response_header<>;

inline std::string_view to_view(boost::beast::string_view text) { return { text.data(), text.size() }; }

// Returns the value of a field; empty if the field is missing.
inline std::string_view field_of(http::fields const& fields, std::string_view name)
{
    auto const found = fields.find(boost::beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string_view() : to_view(found->value());
}

// Returns whether the field concerns only one connection or frames a body. Such fields are never forwarded.
bool is_hop_by_hop(http::fields::value_type const& field);

void append_field(std::string& out, std::string_view name, std::string_view value);
void append_status_line(std::string& out, unsigned status, std::string_view reason);

// Append one chunk of a chunked body, and the end of the body.
void append_chunk(std::string& out, std::string_view data);
void append_last_chunk(std::string& out);

using framing::streamed_body;

} // namespace shedhill::relay
