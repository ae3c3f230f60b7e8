// SPDX-License-Identifier: BSD-2-Clause
// A non-blocking TCP socket that the event loop watches, with a buffer of the bytes to write.
#pragma once

#include "libraries/relay/event_loop.h"

#include <string>
#include <string_view>

namespace shedhill::relay {

enum class read_end {
    // All bytes that had arrived were read.
    drained,
    // The peer has closed its end in an orderly way.
    closed,
    // The connection is broken.
    failed,
};

struct read_outcome {
    std::string_view bytes;
    read_end end { read_end::drained };
};

// The largest capacity of an empty buffer. Hundreds of callers, endpoints and routers stay connected, and the memory of
// one large message on each connection would otherwise stay allocated as long as the connection.
constexpr std::size_t max_idle_capacity = 4096;

// Empties the buffer and frees its memory if it exceeds max_idle_capacity.
inline void clear_buffer(std::string& buffer)
{
    buffer.clear();
    if (buffer.capacity() > max_idle_capacity)
        buffer.shrink_to_fit();
}

class socket {
public:
    // A connection whose peer acknowledges nothing for this time is broken.
    static constexpr milliseconds max_unacknowledged_time { 1200 };

    socket(event_loop& loop, io_handler& handler)
        : m_loop(loop)
        , m_handler(handler)
        , m_buffered(loop.buffered(), buffer_place::unwritten)
    {
    }
    ~socket() { close(); }
    socket(socket const&) = delete;
    socket& operator=(socket const&) = delete;

    // Starts to connect; the handler is called with a writable socket once the attempt has ended. Returns false if the
    // attempt could not be started.
    [[nodiscard]] bool connect(std::string const& address);
    // Takes ownership of a connected descriptor. The system breaks the connection if the peer acknowledges nothing, or
    // accepts nothing, for this time.
    void adopt(int descriptor, milliseconds max_stalled_time = max_unacknowledged_time);
    // Returns whether the peer has acknowledged nothing for max_unacknowledged_time, although it was sent something. A
    // peer that acknowledges and does not read is alive. It asks the system.
    [[nodiscard]] bool is_peer_silent() const;
    // Returns when bytes were last written, as far as the system accepted them.
    [[nodiscard]] instant last_written_at() const { return m_written_at; }
    // Returns for how long the system has accepted none of the bytes to write; 0 if it was not asked or accepted some.
    [[nodiscard]] milliseconds blocked_time() const
    {
        return m_is_blocked ? m_loop.now() - m_blocked_since : milliseconds(0);
    }
    // Completes connect() when the socket is first writable. Returns whether the connection was established.
    [[nodiscard]] bool finish_connect();
    // Returns whether the last attempt to connect was refused, because nothing listens at the address.
    [[nodiscard]] bool was_refused() const { return m_was_refused; }

    // Reads once into the loop's buffer; the bytes are valid until the next read of any socket.
    [[nodiscard]] read_outcome read();
    // Returns how long ago the system received the last bytes, which is `max_time` at most. The loop must have sent
    // nothing for that time. Where the system does not tell, returns half of it.
    [[nodiscard]] milliseconds time_since_receipt(milliseconds max_time) const;
    // Queues the bytes. They are written by flush().
    void queue(std::string_view bytes) { m_out += bytes; }
    std::string& out() { return m_out; }
    [[nodiscard]] bool has_unwritten() const { return m_written < m_out.size(); }
    [[nodiscard]] std::size_t unwritten_size() const { return m_out.size() - m_written; }
    // Writes as many bytes as the system accepts; returns false if the connection is broken.
    bool flush();

    // Returns whether bytes or the end of the connection wait to be read. It asks the system and reads nothing.
    [[nodiscard]] bool has_input() const;
    // Determines whether the loop reports bytes to read. The end of what the peer sends is still reported.
    void set_reading(bool is_reading);
    // Stops reporting bytes to read and their end until set_reading(true), so that the peer has to wait.
    void pause_reading();
    // Ends what this process sends, after which the peer may still read all of it.
    void shut_down_writing();
    [[nodiscard]] bool is_open() const { return m_descriptor >= 0; }
    // Closes in an orderly way.
    void close();
    // Closes with a reset, which the peer cannot mistake for the end of an answer.
    void reset();
    // Determines whether the connection ends with a reset, also if this process ends first.
    void set_reset_on_close(bool is_reset);

private:
    void update_interest();

    event_loop& m_loop;
    io_handler& m_handler;
    int m_descriptor { -1 };
    watch_id m_watch;
    interest m_interest { interest::nothing };
    bool m_is_reading { true };
    // Whether the end of what the peer sends is reported while nothing is read.
    bool m_reports_close { true };
    bool m_is_connecting { false };
    bool m_was_refused { false };
    bool m_is_blocked { false };
    std::string m_out;
    // How many bytes of m_out were written. Invariant: at most m_out.size().
    std::size_t m_written { 0 };
    instant m_written_at {};
    // When the system last accepted a part of the bytes, or first accepted none; used only while m_is_blocked is set.
    instant m_blocked_since {};
    // The unwritten bytes when the socket was last flushed.
    buffered_bytes m_buffered;
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
    // Returns the longest time for which a connection that is accepted now can have waited.
    [[nodiscard]] milliseconds max_unaccepted_time() const { return m_loop.now() - m_waiting_since; }

private:
    void on_ready(readiness ready) override;

    event_loop& m_loop;
    accept_handler m_on_accept;
    int m_descriptor { -1 };
    watch_id m_watch;
    // The time before which no connection can have begun to wait.
    instant m_waiting_since {};
    instant m_accepted_at {};
    bool m_has_accepted_all { true };
};

} // namespace shedhill::relay
