// SPDX-License-Identifier: BSD-2-Clause
// Reads the final answer to the only call of a connection. Heads are checked before the parser gets them, and interim
// answers are skipped.
#pragma once

#include "base/error.h"
#include "libraries/framing/streamed_body.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

namespace shedhill::net::detail {

class answer_reader {
public:
    // The stream must outlive the reader. Errors name the peer.
    answer_reader(boost::beast::tcp_stream& stream, std::string peer)
        : m_stream(stream)
        , m_peer(std::move(peer))
    {
    }

    // Reads the head of the final answer. Suspends the fiber.
    result<void> read_head();
    // Returns the head without the trailer fields of a chunked body.
    [[nodiscard]] boost::beast::http::response_header<> const& head() const { return m_head; }
    // Reads the next bytes of the body; none at its end. Suspends the fiber.
    result<std::string> read_part();

private:
    using parser = boost::beast::http::response_parser<framing::streamed_body>;

    // Reads the head of the next answer, which may be interim.
    result<void> read_next_head();
    boost::system::error_code parse_input();
    // Receives more of the body. The end of the connection is the end of a body without a length.
    boost::system::error_code receive_more();
    [[nodiscard]] tl::unexpected<error> broken(std::string reason) const;

    boost::beast::tcp_stream& m_stream;
    std::string m_peer;
    // Received bytes that the parser cannot consume yet. Invariant: at most max_answer_head_bytes, and as many as one
    // read brings.
    boost::beast::flat_buffer m_buffer;
    std::optional<parser> m_parser;
    boost::beast::http::response_header<> m_head;
    // The size of the heads so far, interim ones included. Invariant: at most max_answer_head_bytes before the body.
    std::size_t m_head_bytes { 0 };
};

} // namespace shedhill::net::detail
