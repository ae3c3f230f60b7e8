// SPDX-License-Identifier: BSD-2-Clause
// Compares the transferred bytes with the link's capacity.
#include "libraries/relay/link_meter.h"

#include <algorithm>
#include <utility>

namespace shedhill::relay {

namespace {

// Factor from bytes of sockets to bytes on the link: every 1,448 bytes add 66 bytes of segment headers, and every two
// segments of the other direction add one acknowledgement.
constexpr double wire_overhead_factor = 1.07;

} // namespace

void link_meter::set_megabits_per_second(double rate)
{
    constexpr double bits_per_byte = 8;
    constexpr double ns_per_us = 1000;
    // One megabit per second is one bit per microsecond.
    m_bytes_per_ns = rate / bits_per_byte / ns_per_us;
}

double link_meter::take_fraction(std::int64_t now_ns)
{
    auto const elapsed_ns = std::max<std::int64_t>(now_ns - std::exchange(m_since_ns, now_ns), 1);
    auto const bytes = std::max(std::exchange(m_received, 0), std::exchange(m_sent, 0));
    if (m_bytes_per_ns <= 0)
        return 0;
    return std::min(
        static_cast<double>(bytes) * wire_overhead_factor / (m_bytes_per_ns * static_cast<double>(elapsed_ns)), 1.0);
}

} // namespace shedhill::relay
