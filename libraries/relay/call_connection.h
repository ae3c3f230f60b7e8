// SPDX-License-Identifier: BSD-2-Clause
// A connection to an HTTP server, an endpoint or the store, that carries one call at a time. It reports separately
// whether a failed call was sent at all. It skips interim answers, and can skip answers that belong to an earlier call.
#pragma once

#include "libraries/dispatch/answer_ending.h"
#include "libraries/relay/http_message.h"
#include "libraries/relay/socket.h"

#include <memory>
#include <optional>

namespace shedhill::relay {

enum class call_end {
    // No byte of the call was written.
    not_sent,
    complete,
    // The answer has neither a length nor chunks, and the server closed the connection in an orderly way. HTTP takes
    // such
    // an answer for complete, but a server that ends in the middle of it closes its connections too.
    closed,
    broken,
};

// What the listener decides about an answer after reading its head.
enum class head_decision {
    accept,
    // The answer belongs to an earlier call: discard it and wait for the next one.
    skip,
    // The answer belongs to no call: end this call as broken.
    reject,
};

class call_connection;

class call_listener {
public:
    virtual ~call_listener() = default;
    virtual head_decision on_head(answer_head const& head) = 0;
    virtual void on_data(std::string_view data) = 0;
    // The call has ended; no further callback follows for it. The connection may be reused if it is idle.
    virtual void on_call_end(call_end end) = 0;
};

class call_connection final : public io_handler, public std::enable_shared_from_this<call_connection> {
public:
    explicit call_connection(event_loop& loop)
        : m_loop(loop)
        , m_socket(loop, *this)
        , m_buffered(loop.buffered(), buffer_place::unparsed)
    {
    }

    // Connects if necessary and sends the call. The listener must outlive the call or abandon it.
    void start(std::string const& address, std::string call, call_listener& listener);
    // Closes the connection without calling the listener.
    void abandon();

    // Stops reading the answer, so that the server has to wait, or goes on.
    void pause_reading() { m_socket.pause_reading(); }
    void resume_reading() { m_socket.set_reading(true); }

    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    [[nodiscard]] bool is_idle() const { return m_phase == phase::idle && m_socket.is_open(); }
    [[nodiscard]] bool is_connecting() const { return m_phase == phase::connecting; }
    // When the connection became idle, and until when the server is expected to keep it open.
    [[nodiscard]] instant idle_since() const { return m_idle_since; }
    [[nodiscard]] instant reusable_until() const { return m_reusable_until; }
    // How the last call's answer was framed and what ended it; an answer that is still being received has not stopped.
    [[nodiscard]] dispatch::answer_ending ending() const { return { m_framing, m_stop }; }
    // The length of the answer's body, if its head names one.
    [[nodiscard]] std::optional<std::uint64_t> announced_length() const { return m_announced_length; }
    // Ends the call because its answer is not valid, in a way that its head does not show.
    void reject_answer() { break_call(dispatch::answer_stop::invalid); }

private:
    enum class phase { unconnected, connecting, idle, calling };
    enum class trailing_bytes { none, some };

    void on_ready(readiness ready) override;
    void parse_bytes(std::string_view bytes);
    // Parses until the parser needs more input, and returns how many bytes were parsed.
    std::size_t parse_all(std::string_view bytes);
    // Returns how many of the bytes were parsed; fewer than all if the parser needs more input.
    std::size_t parse_some(std::string_view bytes);
    void handle_end_of_input(read_end end);
    void handle_head();
    // Discards an interim answer, which consists of a head of this size, and waits for the next answer.
    void skip_interim_answer(std::size_t size);
    void finish_answer(call_end end, trailing_bytes trailing);
    void end_call(call_end end);
    void close_connection();
    // Ends the call as broken.
    void break_call(dispatch::answer_stop stop);
    void begin_answer();
    [[nodiscard]] dispatch::answer_framing framing_of_head() const;
    [[nodiscard]] bool is_reusable() const;

    event_loop& m_loop;
    socket m_socket;
    phase m_phase { phase::unconnected };
    call_listener* m_listener { nullptr };
    std::optional<http::response_parser<streamed_body>> m_parser;
    bool m_has_head { false };
    bool m_is_skipping { false };
    dispatch::answer_framing m_framing { dispatch::answer_framing::none };
    dispatch::answer_stop m_stop { dispatch::answer_stop::none };
    // Counts the calls, which shows whether the listener has started another call during a callback.
    std::uint64_t m_call_number { 0 };
    std::optional<std::uint64_t> m_announced_length;
    // Received bytes of the answer that the parser cannot consume yet. Invariant: at most max_answer_head_bytes, and as
    // many as one read brings.
    std::string m_unparsed;
    // The number of these bytes that were searched for the end of the head.
    std::size_t m_searched { 0 };
    // The size of the interim answers to this call. Invariant: at most max_answer_head_bytes during a call, so that an
    // endpoint that sends nothing else does not hold the call until its deadline.
    std::size_t m_interim_bytes { 0 };
    buffered_bytes m_buffered;
    instant m_idle_since {};
    instant m_reusable_until {};
};

} // namespace shedhill::relay
