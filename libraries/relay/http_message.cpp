// SPDX-License-Identifier: BSD-2-Clause
// Writes heads and chunks.
#include "libraries/relay/http_message.h"

#include <array>
#include <charconv>

namespace shedhill::relay {

bool is_hop_by_hop(http::fields::value_type const& field)
{
    switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

void append_field(std::string& out, std::string_view name, std::string_view value)
{
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
}

void append_status_line(std::string& out, unsigned status, std::string_view reason)
{
    out += "HTTP/1.1 ";
    out += std::to_string(status);
    out += ' ';
    out += reason;
    out += "\r\n";
}

void append_chunk(std::string& out, std::string_view data)
{
    constexpr int hexadecimal = 16;
    std::array<char, 2 * sizeof(std::size_t)> digits {};
    auto const written = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), hexadecimal);
    out.append(digits.data(), written.ptr);
    out += "\r\n";
    out += data;
    out += "\r\n";
}

void append_last_chunk(std::string& out) { out += "0\r\n\r\n"; }

} // namespace shedhill::relay
