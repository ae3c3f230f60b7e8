// SPDX-License-Identifier: BSD-2-Clause
// The connections of callers: who has rested too long, who reads too slowly, and whom a stop lets go.
#pragma once

#include "libraries/dispatch/types.h"
#include "libraries/relay/caller_connection.h"
#include "libraries/relay/event_loop.h"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

namespace shedhill::daemon {

class caller_table {
public:
    explicit caller_table(relay::event_loop& loop)
        : m_loop(loop)
    {
    }

    void accept(int descriptor, relay::caller_listener& listener, dispatch::caller_limits const& limits);
    // Its connection may be on the stack: it goes at the end of the round.
    void remove_later(std::uint64_t number);
    [[nodiscard]] std::size_t size() const { return m_callers.size(); }

    // Closes those who have rested, or taken for a request's head, longer than they may.
    void close_timed_out(dispatch::caller_limits const& limits, instant now);
    // Lets all go who are not in the middle of a request.
    void close_idle();
    [[nodiscard]] bool has_unfinished_exchange() const;

    // A caller that was ended because it read too slowly.
    struct disconnected_reader {
        std::size_t unread { 0 };
    };
    // Ends the slowest readers until what is held for peers is within its limit.
    std::vector<disconnected_reader> disconnect_slow_readers();

private:
    relay::event_loop& m_loop;
    std::uint64_t m_last_number { 0 };
    std::unordered_map<std::uint64_t, std::shared_ptr<relay::caller_connection>> m_callers;
};

} // namespace shedhill::daemon
