// SPDX-License-Identifier: BSD-2-Clause
// Reads the bytes of HTTP messages from a connection into a buffer, for the client and the server. All functions
// suspend the fiber.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstddef>
#include <string_view>

namespace shedhill::net::detail {

[[nodiscard]] std::string_view view_of(boost::beast::flat_buffer const& buffer);

// Adds the next received bytes to the buffer. The error is partial_message if the peer has closed the connection.
boost::system::error_code receive(boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer);

// Reads until the buffer holds a complete head. The error is header_limit if the buffer exceeds the size first, and
// end_of_stream if the peer has closed the connection before the first byte.
boost::system::error_code read_head(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer, std::size_t max_bytes);

} // namespace shedhill::net::detail
