// SPDX-License-Identifier: BSD-2-Clause
// Implements reading of answers.
#include "libraries/net/answer_reader.h"

#include "libraries/framing/message_head.h"
#include "libraries/net/http_input.h"

#include <utility>

namespace shedhill::net::detail {

namespace http = boost::beast::http;

using framing::max_answer_head_bytes;

result<void> answer_reader::read_head()
{
    do {
        TRY_VOID(read_next_head());
    } while (framing::is_interim_status(m_parser->get().result_int()));
    m_head = m_parser->get().base();
    m_parser->eager(true);
    return {};
}

result<void> answer_reader::read_next_head()
{
    if (auto const failure = detail::read_head(m_stream, m_buffer, max_answer_head_bytes))
        return broken(failure.message());
    auto const bytes = view_of(m_buffer);
    auto const size = framing::head_size(bytes).value_or(0);
    m_head_bytes += size;
    if (m_head_bytes > max_answer_head_bytes)
        return broken("the heads exceed " + std::to_string(max_answer_head_bytes) + " bytes");
    if (auto const error = framing::check_answer_head(bytes.substr(0, size)))
        return broken(to_text(*error));
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(max_answer_head_bytes));
    m_parser->body_limit(boost::none);
    if (auto const failure = parse_input())
        return broken(failure.message());
    return {};
}

result<std::string> answer_reader::read_part()
{
    auto& content = m_parser->get().body().content;
    while (content.empty() && !m_parser->is_done()) {
        auto const min_size = m_parser->chunked() ? framing::min_rest_of_chunks : 1;
        boost::system::error_code failure = http::error::need_more;
        if (m_buffer.size() >= min_size)
            failure = parse_input();
        if (failure == http::error::need_more && content.empty()) {
            // The parser waits for the end of a chunk line or of a trailer, which may never come.
            if (m_buffer.size() > max_answer_head_bytes)
                return broken("a chunk line or a trailer exceeds " + std::to_string(max_answer_head_bytes) + " bytes");
            failure = receive_more();
        }
        if (failure && failure != http::error::need_more)
            return broken(failure.message());
    }
    return std::exchange(content, {});
}

boost::system::error_code answer_reader::parse_input()
{
    boost::system::error_code failure;
    m_buffer.consume(m_parser->put(m_buffer.data(), failure));
    return failure;
}

boost::system::error_code answer_reader::receive_more()
{
    auto failure = receive(m_stream, m_buffer);
    if (failure == http::error::partial_message)
        m_parser->put_eof(failure);
    return failure;
}

tl::unexpected<error> answer_reader::broken(std::string reason) const
{
    return fail("read answer", m_peer, std::move(reason));
}

} // namespace shedhill::net::detail
