// SPDX-License-Identifier: BSD-2-Clause
// Limits how many requests this router may have under way at an endpoint of a plain service. The adaptive concurrency
// limit is learned from answer times: it rises in steps while answers arrive in time and falls by a factor when they do
// not (additive increase, multiplicative decrease, as TCP's congestion window). It needs no reports of other routers,
// which are older than a call lasts.
//
// The limit is designed for many routers that share few slots under overload. Where 22 routers share 6 slots of 30 ms
// each and receive 1.45 times the requests that these can serve, a choice by other routers' reports used 0.87 of the
// slots and left 0.37 of the callers unserved; this limit uses all slots and leaves 0.30 unserved (crowded_pool_test).
#pragma once

#include "base/units.h"

#include <cstdint>

namespace shedhill::dispatch {

class answer_time_limit {
public:
    // Sets the number of requests that the endpoint runs at once. The limit starts at twice that number, as if this
    // router had the endpoint and a short queue to itself; the first late answers lower it if it does not.
    void initialize(std::uint32_t slots) { m_limit = 2.0 * slots; }
    void record_sent(instant now) { m_sent_at = now; }
    // Records an answer that took `took_ms`; answers that take up to `acceptable_ms` reach the caller in time.
    // `running` other requests were under way.
    void record_answer(double took_ms, double acceptable_ms, std::uint32_t running, instant now);
    // Records that the endpoint rejected a request because its own queue is full.
    void record_rejection(instant now) { decrease(now); }

    // Whether one more request may be sent while `running` are under way. A fractional limit is spread over the time of
    // an answer: with a limit of one half, one request is sent every two answer times.
    [[nodiscard]] bool allows(std::uint32_t running, instant now) const;
    [[nodiscard]] double limit() const { return m_limit; }

private:
    void decrease(instant now);

    double m_limit { 1 };
    double m_answer_time_ms { 40 };
    instant m_decreased_at {};
    instant m_sent_at {};
};

} // namespace shedhill::dispatch
