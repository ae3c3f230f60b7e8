// SPDX-License-Identifier: BSD-2-Clause
// Checks the head of an HTTP/1.1 message before a parser reads it. A head that leaves the length of its body in doubt
// is refused, because the next server may find the end of the body elsewhere and take a part of it for another message.
// An answer whose status is not one of HTTP is refused too, because its recipient cannot tell what it means.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace shedhill::framing {

// The least size of what is missing of a chunked body, its last chunk and the empty line. Beast's parser must not get
// less of the last chunk: it asserts that it has these bytes when it looks at the chunk again.
constexpr std::size_t min_rest_of_chunks = 5;

// The limit of what a peer may send as the head of an answer, interim answers before it included, as a line that begins
// a chunk, or as a trailer section.
constexpr std::size_t max_answer_head_bytes = 32768;

// A line of a head for which the message is refused.
struct head_error {
    // The field's name; empty if the line is not that of a field.
    std::string field;
    std::string value;
    std::string_view reason;
};

// Returns the error as a sentence that names the field, the beginning of its value, and the reason.
[[nodiscard]] std::string to_text(head_error const& error);

// Returns the size of the head that the bytes begin with, including the empty line; empty if it is incomplete. The
// first `searched` bytes were searched before, so that a head that arrives in pieces is searched once.
[[nodiscard]] std::optional<std::size_t> head_size(std::string_view bytes, std::size_t searched = 0);

// Returns the first error of a complete head: a line that does not end with CR and LF, a folded line, a blank before
// the colon, a Content-Length that is not one number, a Transfer-Encoding that is not "chunked" alone (RFC 9112, 6.1
// and 6.3), or one beside a Content-Length or in a message of HTTP/1.0.
[[nodiscard]] std::optional<head_error> check_head(std::string_view head);

// Returns whether an answer with this status is only interim, so that the final answer to the same request follows it.
[[nodiscard]] constexpr bool is_interim_status(unsigned status)
{
    constexpr unsigned first_final_status = 200;
    return status < first_final_status;
}

// Returns the first error of a complete head of an answer to a request that asks for no other protocol: a status that
// is not from 100 to 599 (RFC 9110, 15), an interim answer that switches protocols or announces a body (RFC 9110, 8.6
// and 15.2.2), or an error that check_head() finds.
[[nodiscard]] std::optional<head_error> check_answer_head(std::string_view head);

} // namespace shedhill::framing
