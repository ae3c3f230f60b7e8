// SPDX-License-Identifier: BSD-2-Clause
// Waits for events of many sockets on one thread. The loop is level-triggered and makes no system call for a socket
// whose interest does not change, since events of streams are what a router handles most often (docs/PLATFORM.md has
// the figures).
#pragma once

#include "base/boot_clock.h"
#include "base/error.h"
#include "base/units.h"
#include "libraries/relay/buffered_bytes.h"
#include "libraries/relay/link_meter.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace shedhill::relay {

// The events that the loop waits for on a socket: bytes to read, room to write, and the end of what the peer sends. The
// loop always reports a failed connection.
enum class interest : std::uint32_t {
    nothing = 0,
    reading = 1,
    writing = 2,
    closing = 4,
};

constexpr interest operator|(interest left, interest right)
{
    return static_cast<interest>(static_cast<std::uint32_t>(left) | static_cast<std::uint32_t>(right));
}

constexpr bool has_interest(interest wanted, interest part)
{
    return (static_cast<std::uint32_t>(wanted) & static_cast<std::uint32_t>(part)) != 0;
}

struct readiness {
    bool is_readable { false };
    bool is_writable { false };
    // The peer has closed its end, or the connection failed.
    bool is_closed { false };
};

class io_handler {
public:
    virtual ~io_handler() = default;
    virtual void on_ready(readiness ready) = 0;
};

// Identifies one watched socket. A slot is reused only with a new generation.
struct watch_id {
    std::uint32_t slot { 0 };
    std::uint32_t generation { 0 };
};

class event_loop {
public:
    static constexpr std::size_t read_buffer_size = 65536;

    using clock_function = boot_clock::time_point (*)();

    explicit event_loop(clock_function clock = boot_clock::now);
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    watch_id watch(int descriptor, io_handler& handler, interest wanted);
    void change_interest(watch_id watched, int descriptor, interest wanted);
    // Must be called before the descriptor is closed. Pending events of the socket in the current round are dropped.
    void unwatch(watch_id watched, int descriptor);

    // Waits for events for at most `limit` and handles them.
    void run_once(milliseconds limit);
    // Returns the time for which the loop read nothing before this round, if that is more than the usual time between
    // two rounds; 0 otherwise.
    [[nodiscard]] milliseconds pause_before_round() const
    {
        constexpr milliseconds usual_time { 100 };
        auto const time = max_unread_time();
        return time >= usual_time ? time : milliseconds(0);
    }
    // Calls the action once at the end of the current round. An action that another one adds runs in the same round.
    void at_end_of_round(std::function<void()> action) { m_at_end.push_back(std::move(action)); }

    // Returns the current time of the loop's clock, in ns. In contrast to now(), it advances within a round.
    [[nodiscard]] std::int64_t time_ns() const;
    // The time since the loop was created, plus one second, so that no event has the zero instant, which means "never".
    [[nodiscard]] instant now() const { return m_now; }
    void refresh_now();
    // Returns the time since the last wait for events ended, in which the loop has read nothing from any socket.
    [[nodiscard]] milliseconds time_in_round() const;
    // Returns the longest time for which bytes that are read in this round can have waited: if they had arrived
    // earlier, an earlier round would have read them.
    [[nodiscard]] milliseconds max_unread_time() const { return m_now - m_unread_since; }
    // Returns the fraction of the time since the last call in which the loop did not wait, from 0 to 1.
    [[nodiscard]] double take_busy_fraction();
    // Meters the traffic of all sockets of the loop.
    [[nodiscard]] link_meter& link() { return m_link; }
    // Counts the bytes that are buffered for all peers of the loop.
    [[nodiscard]] buffer_meter& buffered() { return m_buffered; }
    // Returns the fraction of the link's capacity that was used since the last call, from 0 to 1.
    [[nodiscard]] double take_link_fraction();

    // The buffer that all reads share: received bytes are handled before the next read.
    [[nodiscard]] std::array<char, read_buffer_size>& read_buffer() { return m_read_buffer; }

private:
    void set_now(std::int64_t time_ns);

    struct watched_slot {
        io_handler* handler { nullptr };
        std::uint32_t generation { 0 };
    };

    clock_function m_clock;
    int m_poll { -1 };
    std::int64_t m_started_ns { 0 };
    std::int64_t m_waited_ns { 0 };
    std::int64_t m_busy_since_ns { 0 };
    std::int64_t m_round_started_ns { 0 };
    instant m_now {};
    // The end of the last wait that returned every ready socket, before the current round.
    instant m_unread_since {};
    bool m_has_read_all { true };
    link_meter m_link;
    buffer_meter m_buffered;
    std::vector<watched_slot> m_slots;
    std::vector<std::uint32_t> m_free_slots;
    std::vector<std::function<void()>> m_at_end;
    std::array<char, read_buffer_size> m_read_buffer {};
};

} // namespace shedhill::relay
