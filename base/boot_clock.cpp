// SPDX-License-Identifier: BSD-2-Clause
// Implements boot_clock by clock_gettime(CLOCK_BOOTTIME).
#include "base/boot_clock.h"

#include <ctime>

namespace shedhill {

boot_clock::time_point boot_clock::now() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace shedhill
