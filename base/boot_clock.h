// SPDX-License-Identifier: BSD-2-Clause
// The clock for deadlines, ages of received reports, back-off periods and leases.
#pragma once

#include <chrono>

namespace shedhill {

// A monotonic clock that includes the time in which the system was suspended. std::chrono::steady_clock excludes that
// time, so that data stamped with it would seem younger than it is. Adjustments of the wall clock don't affect it.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace shedhill
