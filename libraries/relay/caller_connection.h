// SPDX-License-Identifier: BSD-2-Clause
// A caller's connection: reads one whole request after another and writes the answers.
#pragma once

#include "libraries/relay/http_message.h"
#include "libraries/relay/socket.h"

#include <memory>
#include <optional>

namespace shedhill::relay {

using caller_request = http::request<http::string_body>;

class caller_connection;

// Input that is not a valid request.
struct bad_request {
    // The HTTP status to answer with.
    unsigned status { 0 };
    // The reason names what is wrong, with the field and its value if they are known.
    std::string reason;
};

class caller_listener {
public:
    virtual ~caller_listener() = default;
    virtual void on_request(caller_connection& connection, caller_request request) = 0;
    // The input is not a valid request. The listener answers, after which the connection is closed.
    virtual void on_bad_request(caller_connection& connection, bad_request const& refused) = 0;
    // The connection is closed. No further callback follows for it.
    virtual void on_caller_disconnected(caller_connection& connection) = 0;
};

struct read_limits {
    std::size_t header_bytes { 16384 };
    std::size_t body_bytes { 4U << 20U };

    bool operator==(read_limits const&) const = default;
};

class caller_connection final : public io_handler, public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(event_loop& loop, std::uint64_t number, caller_listener& listener, read_limits limits);

    // Takes over an accepted connection, which has waited to be accepted for at most this time.
    void open(int descriptor, milliseconds max_unaccepted_time = milliseconds(0));

    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] bool is_answering() const { return m_is_answering; }
    // Returns for how long the last bytes of the request had waited to be read.
    [[nodiscard]] milliseconds unread_time() const { return m_unread_time; }
    // The time of the last read or write.
    [[nodiscard]] instant last_activity() const { return m_last_activity; }
    // Returns whether received bytes are not parsed yet, such as an incomplete head or a pipelined request. The bytes
    // of an incomplete body are parsed as they arrive and do not count.
    [[nodiscard]] bool has_partial_request() const { return !m_input.empty(); }
    // Returns whether the connection closes after this answer, at the caller's or the router's request.
    [[nodiscard]] bool closes_after_answer() const { return m_closes_after_answer; }
    void close_after_answer() { m_closes_after_answer = true; }

    // Returns the buffer for bytes of an answer, which is written at the end of the loop's round.
    std::string& out();
    // Begins an answer with neither a length nor chunks, whose end is the end of the connection. Until it is complete,
    // the connection ends with a reset, whatever ends it.
    void begin_unframed_answer();
    // Completes the answer: reads the next request, or closes the connection if that was requested.
    void finish_answer();
    // Ends an incomplete answer by closing the connection, which shows the caller that its end is missing. The
    // connection of an unframed answer is reset.
    void abort_answer();
    // Closes at once, unless an answer is in progress.
    void close_idle();
    // Closes once the answer in progress is complete and written, or at once if there is nothing to write.
    void close_after_flush();
    // Returns whether bytes of an answer are waiting to be written.
    [[nodiscard]] bool has_unwritten() const { return !m_is_closed && m_socket.has_unwritten(); }

    [[nodiscard]] std::size_t unwritten_size() const { return m_is_closed ? 0 : m_socket.unwritten_size(); }
    // Closes at once in the middle of an answer, for a caller that does not read. It sees an incomplete answer.
    void abort_connection() { disconnect(); }

    // Sets the limits from the next request on.
    void set_limits(read_limits limits) { m_limits = limits; }

private:
    void on_ready(readiness ready) override;
    void measure_unread_time();
    void read_requests();
    void begin_request();
    // Parses received bytes. Returns how many were used, or refuses the request and returns nothing.
    [[nodiscard]] std::optional<std::size_t> parse_input();
    // Checks the head of this size, or one that is longer than the received bytes; refuses it if it is not accepted.
    [[nodiscard]] bool is_head_accepted(std::optional<std::size_t> size);
    void refuse(unsigned status, std::string reason);
    void finish_request();
    void schedule_flush();
    void flush();
    void disconnect();

    event_loop& m_loop;
    std::uint64_t m_number;
    caller_listener& m_listener;
    read_limits m_limits;
    socket m_socket;
    std::string m_input;
    std::optional<http::request_parser<http::string_body>> m_parser;
    // The head of a chunked request, without the trailer fields that the parser adds to it.
    std::optional<request_head> m_head;
    bool m_is_answering { false };
    bool m_closes_after_answer { false };
    bool m_is_aborted { false };
    bool m_is_flush_scheduled { false };
    bool m_is_parsing { false };
    bool m_is_closed { false };
    instant m_last_activity {};
    milliseconds m_unread_time { 0 };
    // The time before which the first bytes cannot have arrived. Only the round after the accepting one reads bytes
    // that came with the connection.
    instant m_waiting_since {};
    instant m_opened_at {};
    // The time at which the last answer was complete.
    instant m_answered_at {};
};

} // namespace shedhill::relay
