// SPDX-License-Identifier: BSD-2-Clause
// The rest that an endpoint asked this router for, and its return from it. An endpoint that turns requests away runs
// less and less, and would look the best there is: 71 requests reached one in its 3 s of rest, at 60 a second before
// three endpoints, where none does now (a real router before stand-ins).
#pragma once

#include "base/units.h"

#include <cstdint>

namespace shedhill::dispatch {

class rest_period {
public:
    // Counted from when the answer was read. A shorter rest does not shorten a longer one that was asked for before.
    void note_asked(milliseconds rest, instant now);

    [[nodiscard]] bool is_resting(instant now) const { return now < m_until; }
    [[nodiscard]] instant until() const { return m_until; }
    // Nothing while it rests. After that one request, and two more for each that is answered well: all that waited
    // would be turned away together if it asks for rest again. The clock lets more in too, so that a first request
    // whose answer never comes keeps nobody out.
    [[nodiscard]] bool may_send(instant now) const { return now >= m_return_until || has_part(now); }
    void note_sent(instant now);
    // An attempt that was sent at that time is answered well.
    void note_good(instant sent_at);

private:
    [[nodiscard]] bool has_part(instant now) const;

    instant m_until {};
    // Invariant: not before m_until. From then on the endpoint is as any other.
    instant m_return_until {};
    // Since the rest ended.
    std::uint32_t m_sent { 0 };
    std::uint32_t m_good { 0 };
};

} // namespace shedhill::dispatch
