// SPDX-License-Identifier: BSD-2-Clause
// Whether this router has more to do than it can, and how much of what comes it turns away at once: each refusal sends
// the caller to another router, which may have time, before any work was spent on the request here.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/admission/admission_terms.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace shedhill::dispatch {

// What a router has seen of itself since its last tick.
struct own_load {
    // How much later than wanted the tick came.
    milliseconds lag { 0 };
    // The part of the time in which the process did not wait.
    double busy_part { 0 };
    // The part of the link that was in use.
    double link_part { 0 };
};

// What a router knows of the others.
struct fleet_load {
    // This one included.
    std::size_t routers { 1 };
    std::size_t others_aside { 0 };
    // Of those that are not aside, the part of their time in which they do not wait, on average.
    double others_busy_part { 0 };
};

class overload_guard {
public:
    // Called at each tick.
    void note_tick(own_load const& seen);

    // What is timed here, such as how long an endpoint took, tells more of this router than of others.
    [[nodiscard]] bool is_behind() const;
    // Whether a request is turned away. The draw decides for a part of them.
    [[nodiscard]] bool refuses(team_standing standing, std::uint64_t draw) const;

    // Turning away does not help where the same callers come back to the same router. One that has been overloaded for
    // a while, while others have time, steps aside: it takes no new callers for some time, the longer the oftener. At
    // most a part of the routers may be aside at once. Whether it has stepped aside or come back.
    bool update_aside(fleet_load const& fleet, instant now);
    // The part of its time, or of its link if that is more, that is in use.
    [[nodiscard]] double busy_part() const { return std::max(m_busy_part, m_link_part); }
    [[nodiscard]] bool is_overloaded() const { return m_is_aside; }

private:
    [[nodiscard]] double refused_part(team_standing standing) const;

    // Smoothed over about a tenth of a second, the link over about half a second: a large body fills it for a moment.
    double m_lag_ms { 0 };
    double m_busy_part { 0 };
    double m_link_part { 0 };
    // Rises while there is too much to do, and falls while there is time.
    double m_refused_part { 0 };
    // Since when much is turned away; the epoch while it is not.
    instant m_overloaded_since {};
    bool m_is_aside { false };
    // While aside: until when. After that: when it came back.
    instant m_aside_until {};
    milliseconds m_aside_time { 0 };
};

} // namespace shedhill::dispatch
