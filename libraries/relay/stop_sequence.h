// SPDX-License-Identifier: BSD-2-Clause
// The timed steps of a planned stop: wait until the load balancer has noticed, release idle callers, answer what is
// still open when the time is up, and end the process when no work is in progress. The sequence only decides; the
// router carries the steps out.
#pragma once

#include "base/units.h"

#include <cstddef>

namespace shedhill::relay {

// The work that is still open at a stopping router.
struct open_work {
    // The number of requests that are being served.
    std::size_t requests { 0 };
    // Whether a caller has sent a part of a request, or has not received all of an answer yet.
    bool has_partial_exchange { false };
};

enum class stop_step {
    // Continue with the open work.
    wait,
    // Release idle callers and refuse new requests: the load balancer sends no new callers any more, or half of the
    // stop time is left for the requests that are being served.
    close_callers,
    // End all requests that are being served with an answer, because their endpoints' answers come too late.
    end_requests,
    end_process,
};

class stop_sequence {
public:
    // Starts the sequence at `now`, from which the stop time counts. A second call changes nothing.
    void begin(instant now);
    [[nodiscard]] bool has_begun() const { return m_begun_at != instant {}; }
    // Returns whether callers were released, so that new requests are refused.
    [[nodiscard]] bool is_closing() const { return m_is_closing; }

    // Returns the step to carry out now; `close_callers` and `end_requests` are returned at most once, and the latter
    // includes the former.
    stop_step advance(open_work const& open, milliseconds stop_time, instant now);

private:
    instant m_begun_at {};
    bool m_is_closing { false };
    bool m_has_ended_requests { false };
};

// The time until the load balancer no longer uses a router that is not ready: it checks every second and removes a
// router after two failed checks.
constexpr milliseconds balancer_detection_time { 2700 };

} // namespace shedhill::relay
