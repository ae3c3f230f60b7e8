// SPDX-License-Identifier: BSD-2-Clause
// Reports the growth of the process's peak memory, so that the log of a process that was killed shows how it got there.
#pragma once

#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace shedhill::daemon {

class memory_watch {
public:
    // Returns the greatest resident memory of this process so far, in KiB.
    static std::int64_t peak_kib();

    // Returns the memory that this process may use: that of its control group or of the machine, whichever is less.
    static std::size_t available_bytes();

    // Returns the peak in KiB if it has grown noticeably since it was last returned. The system is asked once a second.
    std::optional<std::int64_t> take_growth(instant now);
    // Does the same for a peak that the caller has read.
    std::optional<std::int64_t> record_peak(std::int64_t peak_kib);

private:
    instant m_checked_at {};
    std::int64_t m_reported_kib { 0 };
};

} // namespace shedhill::daemon
