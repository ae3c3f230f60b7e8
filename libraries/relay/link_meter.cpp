// SPDX-License-Identifier: BSD-2-Clause
// Bytes against what the link could have carried.
#include "libraries/relay/link_meter.h"

#include <algorithm>
#include <utility>

namespace shedhill::relay {

namespace {

// Headers of segments and acknowledgements, beside what sockets carry: 66 bytes for each 1,448, and one for two of the
// other direction.
constexpr double bytes_on_the_link = 1.07;

} // namespace

void link_meter::set_megabits_per_second(double rate)
{
    constexpr double bits_per_byte = 8;
    constexpr double ns_per_us = 1000;
    // A megabit a second is a bit a microsecond.
    m_bytes_per_ns = rate / bits_per_byte / ns_per_us;
}

double link_meter::take_part(std::int64_t now_ns)
{
    auto const passed = std::max<std::int64_t>(now_ns - std::exchange(m_since_ns, now_ns), 1);
    auto const bytes = std::max(std::exchange(m_received, 0), std::exchange(m_sent, 0));
    if (m_bytes_per_ns <= 0)
        return 0;
    return std::min(
        static_cast<double>(bytes) * bytes_on_the_link / (m_bytes_per_ns * static_cast<double>(passed)), 1.0);
}

} // namespace shedhill::relay
