// SPDX-License-Identifier: BSD-2-Clause
// Implements reading into a buffer.
#include "libraries/net/http_input.h"

#include "libraries/framing/message_head.h"
#include "libraries/net/await.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

namespace shedhill::net::detail {

namespace beast = boost::beast;
namespace http = beast::http;

std::string_view view_of(beast::flat_buffer const& buffer)
{
    return { static_cast<char const*>(buffer.data().data()), buffer.size() };
}

boost::system::error_code receive(beast::tcp_stream& stream, beast::flat_buffer& buffer)
{
    constexpr std::size_t read_size = 16384;
    auto const [failure, size]
        = await_io([&](auto handler) { stream.async_read_some(buffer.prepare(read_size), std::move(handler)); });
    buffer.commit(size);
    if (failure == boost::asio::error::eof)
        return http::error::partial_message;
    return failure;
}

boost::system::error_code read_head(beast::tcp_stream& stream, beast::flat_buffer& buffer, std::size_t max_bytes)
{
    while (!framing::head_size(view_of(buffer))) {
        if (buffer.size() > max_bytes)
            return http::error::header_limit;
        auto const failure = receive(stream, buffer);
        if (failure == http::error::partial_message && buffer.size() == 0)
            return http::error::end_of_stream;
        if (failure)
            return failure;
    }
    return {};
}

} // namespace shedhill::net::detail
