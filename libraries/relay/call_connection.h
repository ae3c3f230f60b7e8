// SPDX-License-Identifier: BSD-2-Clause
// A connection to an HTTP server, for one call at a time: to an endpoint, or to the store. It tells apart what was
// never written, and skips answers that belong to an earlier call.
#pragma once

#include "libraries/relay/http_message.h"
#include "libraries/relay/socket.h"

#include <memory>
#include <optional>

namespace shedhill::relay {

enum class call_end {
    // No byte of the call was written.
    not_sent,
    complete,
    broken,
};

enum class head_choice {
    take,
    // The answer belongs to an earlier call; the next one is waited for.
    skip,
    // What came is no answer to anything that was asked.
    refuse,
};

class call_connection;

class call_listener {
public:
    virtual ~call_listener() = default;
    virtual head_choice on_head(answer_head const& head) = 0;
    virtual void on_data(std::string_view data) = 0;
    // The last word on the call. The connection may be used again if it is idle.
    virtual void on_call_end(call_end end) = 0;
};

class call_connection final : public io_handler, public std::enable_shared_from_this<call_connection> {
public:
    explicit call_connection(event_loop& loop)
        : m_loop(loop)
        , m_socket(loop, *this)
    {
    }

    // Connects if need be, and sends the call. The listener must outlive the call or abandon it.
    void start(std::string const& address, std::string call, call_listener& listener);
    // Closes without a word to the listener.
    void abandon();

    [[nodiscard]] bool is_open() const { return m_socket.is_open(); }
    [[nodiscard]] bool is_idle() const { return m_phase == phase::idle && m_socket.is_open(); }
    [[nodiscard]] bool is_connecting() const { return m_phase == phase::connecting; }
    // When it became idle, and until when the server is thought to keep it.
    [[nodiscard]] instant idle_since() const { return m_idle_since; }
    [[nodiscard]] instant kept_until() const { return m_kept_until; }

private:
    enum class phase { unconnected, connecting, idle, calling };
    enum class surplus { none, some };

    void on_ready(readiness ready) override;
    void take_bytes(std::string_view bytes);
    // What was read of the bytes; less than all where more are needed.
    std::size_t parse_some(std::string_view bytes);
    void take_end_of_input(read_end end);
    void handle_head();
    void finish_answer(surplus after_it);
    void end_call(call_end end);
    void begin_answer();
    [[nodiscard]] bool can_be_kept() const;

    event_loop& m_loop;
    socket m_socket;
    phase m_phase { phase::unconnected };
    call_listener* m_listener { nullptr };
    std::optional<http::response_parser<piece_body>> m_parser;
    bool m_has_head { false };
    bool m_is_skipping { false };
    // Counts the calls.
    std::uint64_t m_call { 0 };
    // Bytes of the answer that were not yet enough to be read on.
    std::string m_rest;
    instant m_idle_since {};
    instant m_kept_until {};
};

} // namespace shedhill::relay
