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
    // There is no memory for the body of this request. The listener answers, after which the connection is closed.
    virtual void on_body_refused(caller_connection& connection, caller_request const& request) = 0;
    // Most of the bytes that waited for this caller were written, after it had lagged behind.
    virtual void on_caller_caught_up(caller_connection& connection) = 0;
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

    // Takes over an accepted connection, which has waited to be accepted for at most this time. A caller that
    // acknowledges and does not read keeps its connection for max_unread_answer_time.
    void open(int descriptor, milliseconds max_unaccepted_time = milliseconds(0),
        milliseconds max_unread_answer_time = socket::max_unacknowledged_time);

    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] bool is_answering() const { return m_is_answering; }
    // Returns for how long the last bytes of the request had waited to be read.
    [[nodiscard]] milliseconds unread_time() const { return m_unread_time; }
    // The time of the last read or write.
    [[nodiscard]] instant last_activity() const { return m_last_activity; }
    // Returns whether received bytes are not parsed yet, such as an incomplete head or a pipelined request. The bytes
    // of an incomplete body are parsed as they arrive and do not count.
    [[nodiscard]] bool has_partial_request() const { return !m_input.empty(); }
    // Returns the bytes that are kept of a request whose body is not complete yet.
    [[nodiscard]] std::size_t incomplete_body_size() const;
    // Refuses the request whose body is not complete yet, for lack of memory. The rest of it is discarded.
    void refuse_incomplete_body();
    // Returns whether the rest of a refused request has been discarded for long enough.
    [[nodiscard]] bool has_discarded_enough() const { return m_is_discarding && m_loop.now() >= m_discards_until; }
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
    // Returns whether so many bytes wait for the caller that its answer should not be read any further. The listener is
    // told when it has caught up.
    [[nodiscard]] bool is_lagging();
    // Returns for how long the caller has accepted nothing of what waits for it; 0 if nothing waits.
    [[nodiscard]] milliseconds unread_answer_time() const
    {
        return m_is_closed ? milliseconds(0) : m_socket.blocked_time();
    }
    // Returns whether the caller's host acknowledges nothing any more. The system is asked only while an answer is
    // under way of which something was sent.
    [[nodiscard]] bool is_caller_silent() const
    {
        return !m_is_closed && (m_is_answering || has_unwritten()) && m_socket.last_written_at() > m_answered_at
            && m_socket.is_peer_silent();
    }
    // Closes at once in the middle of an answer, for a caller that does not read. It sees an incomplete answer.
    void abort_connection() { disconnect(); }

    // Sets the limits from the next request on.
    void set_limits(read_limits limits) { m_limits = limits; }

private:
    void on_ready(readiness ready) override;
    void measure_unread_time();
    void read_requests();
    void read_input();
    void record_received_bytes();
    // Whether the parser keeps what it has read of a body.
    [[nodiscard]] bool has_incomplete_body() const;
    // Returns whether there is memory for a body of the announced length.
    [[nodiscard]] bool is_body_accepted();
    void refuse_unread();
    // Begins the answer of a request whose rest is discarded.
    void begin_refusal();
    // Ends the connection once the refusal is written: the caller may still read it.
    void end_refusal();
    void discard_input();
    [[nodiscard]] std::string_view unparsed_input() const { return std::string_view(m_input).substr(m_parsed); }
    // Refuses a chunk line or a trailer that is longer than a head may be.
    [[nodiscard]] bool is_framing_accepted();
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
    // The number of bytes of m_input that were parsed, and of the rest that were searched for the end of the head.
    std::size_t m_parsed { 0 };
    std::size_t m_searched { 0 };
    // The bytes of m_input and of a body that is not complete.
    buffered_bytes m_received;
    std::optional<http::request_parser<http::string_body>> m_parser;
    // The head of a chunked request, without the trailer fields that the parser adds to it.
    std::optional<request_head> m_head;
    bool m_is_answering { false };
    bool m_closes_after_answer { false };
    bool m_is_aborted { false };
    bool m_is_flush_scheduled { false };
    bool m_is_parsing { false };
    bool m_is_closed { false };
    // Whether the caller has lagged behind since on_caller_caught_up().
    bool m_has_lagged { false };
    // After a refusal, what the caller still sends is read and discarded for a while, since a close with unread bytes
    // resets the connection and the refusal may be lost.
    bool m_is_discarding { false };
    bool m_has_shut_down { false };
    instant m_discards_until {};
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
