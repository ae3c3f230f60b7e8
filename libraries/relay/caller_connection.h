// SPDX-License-Identifier: BSD-2-Clause
// A caller's connection: reads one request after another, whole, and writes answers.
#pragma once

#include "libraries/relay/http_message.h"
#include "libraries/relay/socket.h"

#include <memory>
#include <optional>

namespace shedhill::relay {

using caller_request = http::request<http::string_body>;

class caller_connection;

class caller_listener {
public:
    virtual ~caller_listener() = default;
    virtual void on_request(caller_connection& connection, caller_request request) = 0;
    // What was read is no request. The listener answers; the connection is closed after that.
    virtual void on_bad_request(caller_connection& connection, unsigned status) = 0;
    // The caller has gone. Nothing more is called for this connection.
    virtual void on_caller_gone(caller_connection& connection) = 0;
};

struct read_limits {
    std::size_t header_bytes { 16384 };
    std::size_t body_bytes { 4U << 20U };
};

class caller_connection final : public io_handler, public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(event_loop& loop, std::uint64_t number, caller_listener& listener, read_limits limits);

    void open(int descriptor) { m_socket.adopt(descriptor); }

    [[nodiscard]] std::uint64_t number() const { return m_number; }
    [[nodiscard]] bool is_answering() const { return m_is_answering; }
    // Since when nothing was read or written, and whether a request has begun to come in.
    [[nodiscard]] instant last_activity() const { return m_last_activity; }
    [[nodiscard]] bool has_begun_request() const { return !m_in.empty(); }
    // The caller asked for, or was told of, a close after this answer.
    [[nodiscard]] bool closes_after_answer() const { return m_closes; }
    void close_after_answer() { m_closes = true; }

    // Bytes of an answer; written at the end of the round.
    std::string& out();
    // The answer is whole: the next request is read, or the connection closed.
    void finish_answer();
    // Breaks the answer off so that the caller sees it.
    void break_off();
    // Closes at once, unless an answer is under way.
    void close_idle();
    // Closes once the answer under way is whole and all of it is written, or at once where there is nothing to write.
    void let_go();
    // Bytes of an answer wait to be written.
    [[nodiscard]] bool has_unwritten() const { return !m_is_gone && m_socket.has_unwritten(); }

    [[nodiscard]] std::size_t unwritten_size() const { return m_is_gone ? 0 : m_socket.unwritten_size(); }
    // Ends the connection where it is: the caller does not read, and sees that its answer is not whole.
    void drop() { be_gone(); }

    void set_limits(read_limits limits) { m_limits = limits; }

private:
    void on_ready(readiness ready) override;
    void read_requests();
    void begin_request();
    void schedule_flush();
    void flush();
    void be_gone();

    event_loop& m_loop;
    std::uint64_t m_number;
    caller_listener& m_listener;
    read_limits m_limits;
    socket m_socket;
    std::string m_in;
    std::optional<http::request_parser<http::string_body>> m_parser;
    bool m_is_answering { false };
    bool m_closes { false };
    bool m_is_flush_scheduled { false };
    bool m_is_reading { false };
    bool m_is_gone { false };
    instant m_last_activity {};
};

} // namespace shedhill::relay
