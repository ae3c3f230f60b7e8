// SPDX-License-Identifier: BSD-2-Clause
// Tracks whether an endpoint is cold and counts what this router recently sent it while it was. An endpoint that has
// just started, or that has been without work, sustains only a few requests per second and fails well above that rate.
// An endpoint that is not known to be warm counts as cold.
#pragma once

#include "base/units.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace shedhill::dispatch {

class cold_period {
public:
    // Length of the sliding window over which sends are counted: one second by the clock of any router, provided that
    // the rates of two clocks differ by no more than a twentieth.
    static constexpr milliseconds window { 1050 };

    // Sets how much longer the endpoint is cold according to its own row; the latest value replaces earlier ones. The
    // row was written some time before the router reads it.
    void set_announced(milliseconds left, instant now) { m_announced_until = now + left; }
    // Treats the endpoint as cold for the pool's usual cold time: it may have become cold a moment ago, before its row
    // says so.
    void assume_cold(milliseconds cold_time, instant now)
    {
        m_assumed_until = std::max(m_assumed_until, now + cold_time);
    }

    [[nodiscard]] bool is_cold(instant now) const { return now < m_announced_until || now < m_assumed_until; }
    // Whether one more request may be sent when `allowance` requests are allowed within the window.
    [[nodiscard]] bool may_send(std::size_t allowance, instant now);
    void record_sent(instant now) { m_sent.push_back(now); }

private:
    instant m_announced_until {};
    instant m_assumed_until {};
    // Times of the sends to the cold endpoint within the last window, oldest first.
    std::deque<instant> m_sent;
};

} // namespace shedhill::dispatch
