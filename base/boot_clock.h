// SPDX-License-Identifier: BSD-2-Clause
// The clock of all that is held against time: deadlines, ages of what others told, rests, leases.
#pragma once

#include <chrono>

namespace shedhill {

// Counts the time in which the machine was suspended, which std::chrono::steady_clock leaves out: what is held there
// would seem younger than it is. Nobody sets it.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

} // namespace shedhill
