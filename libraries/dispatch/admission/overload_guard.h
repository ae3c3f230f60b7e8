// SPDX-License-Identifier: BSD-2-Clause
// Detects that this router is overloaded, and determines what fraction of requests it refuses at once. Each refusal
// sends the caller to another router, which may have capacity, before this router spends work on the request.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/admission/admission_terms.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace shedhill::dispatch {

// What a router measured about itself since its last tick.
struct own_load {
    // How much later than scheduled the tick ran.
    milliseconds lag { 0 };
    // Fraction of the time in which the process did not wait.
    double busy_fraction { 0 };
    // Fraction of the link's capacity that was in use.
    double link_fraction { 0 };
};

// What a router knows about the fleet.
struct fleet_load {
    // All routers, this one included.
    std::size_t routers { 1 };
    std::size_t others_overloaded { 0 };
    // Average busy fraction of the other routers that are not overloaded.
    double others_busy_fraction { 0 };
};

class overload_guard {
public:
    // Updates the measurements; called at each tick.
    void record_tick(own_load const& load);

    // Whether this router runs late. Durations that it then measures, such as an endpoint's answer time, say more about
    // this router than about others.
    [[nodiscard]] bool is_behind() const;
    // Whether a request is refused. `draw` is a random number that selects the refused fraction.
    [[nodiscard]] bool refuses(share_status status, std::uint64_t draw) const;

    // Updates whether this router declares itself overloaded, and returns whether that changed. Refusals do not help
    // where the same callers return to the same router. A router that has refused many requests for some time, while
    // others have capacity, therefore accepts no new callers for a period, which doubles if the overload returns soon.
    // At most a fraction of the routers may be in this state at once.
    bool update_overload_state(fleet_load const& fleet, instant now);
    // Returns the busy fraction of the process or of its link, whichever is larger.
    [[nodiscard]] double busy_fraction() const { return std::max(m_busy_fraction, m_link_fraction); }
    [[nodiscard]] bool is_overloaded() const { return m_is_overloaded; }

private:
    [[nodiscard]] double refusal_fraction(share_status status) const;

    // Moving averages: over about a tenth of a second for lag and process, and about half a second for the link, which
    // a large body fills for a moment.
    double m_lag_ms { 0 };
    double m_busy_fraction { 0 };
    double m_link_fraction { 0 };
    // Fraction of requests that is refused; rises while the router is overloaded and falls while it has capacity.
    double m_refusal_fraction { 0 };
    // Since when the router has refused many requests; the epoch while it does not.
    instant m_refusing_since {};
    bool m_is_overloaded { false };
    // While overloaded: the earliest end of that state. Afterwards: when the state ended.
    instant m_overloaded_until {};
    milliseconds m_overload_period { 0 };
};

} // namespace shedhill::dispatch
