// SPDX-License-Identifier: BSD-2-Clause
// Holds the connections of callers. Closes those that are idle for too long or read too slowly, and releases callers
// when the router stops.
#pragma once

#include "libraries/dispatch/types.h"
#include "libraries/relay/buffer_relief.h"
#include "libraries/relay/caller_connection.h"
#include "libraries/relay/event_loop.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace shedhill::daemon {

class caller_table {
public:
    explicit caller_table(
        relay::event_loop& loop, milliseconds max_unread_answer_time = relay::socket::max_unacknowledged_time)
        : m_loop(loop)
        , m_max_unread_answer_time(max_unread_answer_time)
    {
    }

    // Takes over an accepted connection, which has waited to be accepted for at most this time.
    void accept(int descriptor, milliseconds max_unaccepted_time, relay::caller_listener& listener);
    // Sets the limits of all callers' next requests, and of new callers.
    void set_limits(dispatch::caller_limits const& limits);
    // Removes the caller at the end of the round, because its connection may be on the stack.
    void remove_later(std::uint64_t number);
    [[nodiscard]] std::size_t size() const { return m_callers.size(); }

    // Closes the callers whose last read or write is longer ago than the limit for idle callers allows, or the limit
    // for callers that have sent an incomplete head.
    void close_timed_out(dispatch::caller_limits const& limits, instant now);
    // A caller that was disconnected because it does not read its answer, or because its host is gone.
    struct disconnected_caller {
        std::size_t unread_bytes { 0 };
        milliseconds unread_for { 0 };
        bool is_silent { false };
    };
    // Disconnects the callers whose hosts acknowledge nothing, and those that have not read for too long.
    std::vector<disconnected_caller> disconnect_unreachable();
    // Releases all callers that are not sending a request.
    void close_idle();
    [[nodiscard]] bool has_unfinished_exchange() const;

    // The functions below release bytes until those that are buffered for all peers are within their limit, and return
    // the callers that they have released.

    // Refuses the largest requests whose bodies are not complete yet, down to the limit for requests.
    std::vector<relay::buffer_holder> refuse_incomplete_bodies();
    // Disconnects the callers with the most unread bytes.
    std::vector<relay::buffer_holder> disconnect_slow_readers();

private:
    template <typename Size>
    [[nodiscard]] std::vector<relay::buffer_holder> callers_to_release(std::size_t limit, Size&& size) const;

    relay::event_loop& m_loop;
    milliseconds m_max_unread_answer_time;
    std::uint64_t m_last_number { 0 };
    relay::read_limits m_limits {};
    std::unordered_map<std::uint64_t, std::shared_ptr<relay::caller_connection>> m_callers;
};

} // namespace shedhill::daemon
