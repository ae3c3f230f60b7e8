// SPDX-License-Identifier: BSD-2-Clause
// A TCP socket that never blocks, watched by the loop, with what waits to be written.
#pragma once

#include "libraries/relay/event_loop.h"

#include <string>
#include <string_view>

namespace shedhill::relay {

enum class read_end {
    // Everything there was has been read.
    drained,
    // The peer has closed its end in good order.
    closed,
    // The connection is broken.
    failed,
};

struct read_outcome {
    std::string_view bytes;
    read_end end { read_end::drained };
};

// A connection that rests keeps no more room than this: hundreds of callers, endpoints and routers stay connected, and
// one large message on each would stay in memory for as long as they do.
constexpr std::size_t kept_capacity = 4096;

// Empties the buffer.
inline void release(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > kept_capacity)
        buffer.shrink_to_fit();
}

class socket {
public:
    socket(event_loop& loop, io_handler& handler)
        : m_loop(loop)
        , m_handler(handler)
        , m_held(loop.held())
    {
    }
    ~socket() { close(); }
    socket(socket const&) = delete;
    socket& operator=(socket const&) = delete;

    // Starts to connect; the handler is told that it is writable once that is over.
    [[nodiscard]] bool connect(std::string const& address);
    void adopt(int descriptor);
    // Whether a connection that was started has come up. Call it when the socket is first writable.
    [[nodiscard]] bool has_connected();
    // The last connection did not come up because nothing listens at the address.
    [[nodiscard]] bool was_refused() const { return m_was_refused; }

    // Reads once into the loop's buffer; the bytes are valid until the next read of any socket.
    [[nodiscard]] read_outcome read();
    // Queues the bytes. They are written by flush().
    void queue(std::string_view bytes) { m_out += bytes; }
    std::string& out() { return m_out; }
    [[nodiscard]] bool has_unwritten() const { return m_written < m_out.size(); }
    [[nodiscard]] std::size_t unwritten_size() const { return m_out.size() - m_written; }
    // Writes what it can; false if the connection is broken.
    bool flush();

    void set_reading(bool is_reading);
    [[nodiscard]] bool is_open() const { return m_descriptor >= 0; }
    // Closes in good order, or with a reset, which the peer cannot take for the end of an answer.
    void close();
    void reset();

private:
    void update_interest();

    event_loop& m_loop;
    io_handler& m_handler;
    int m_descriptor { -1 };
    watch_id m_watch;
    interest m_interest { interest::nothing };
    bool m_is_reading { true };
    bool m_is_connecting { false };
    bool m_was_refused { false };
    bool m_is_blocked { false };
    std::string m_out;
    // Invariant: at most m_out.size().
    std::size_t m_written { 0 };
    // What the peer had not read when the socket was last flushed.
    held_bytes m_held;
};

class listener_socket final : io_handler {
public:
    using accept_handler = std::function<void(int descriptor)>;

    listener_socket(event_loop& loop, accept_handler on_accept)
        : m_loop(loop)
        , m_on_accept(std::move(on_accept))
    {
    }
    ~listener_socket() override { close(); }
    listener_socket(listener_socket const&) = delete;
    listener_socket& operator=(listener_socket const&) = delete;

    result<void> open(std::string const& address);
    [[nodiscard]] std::uint16_t port() const;
    void close();

private:
    void on_ready(readiness ready) override;

    event_loop& m_loop;
    accept_handler m_on_accept;
    int m_descriptor { -1 };
    watch_id m_watch;
};

} // namespace shedhill::relay
