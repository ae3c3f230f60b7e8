// SPDX-License-Identifier: BSD-2-Clause
// Reads the peak from the resource usage that the kernel keeps.
#include "services/shedhilld/memory_watch.h"

#include <algorithm>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace shedhill::daemon {

namespace {

constexpr milliseconds check_interval { 1000 };
// A growth is reported by at least this much and this fraction, so that the number of reports is the logarithm of the
// memory.
constexpr std::int64_t min_growth_kib = 4096;
constexpr std::int64_t growth_divisor = 4;

} // namespace

std::int64_t memory_watch::peak_kib()
{
    rusage used {};
    getrusage(RUSAGE_SELF, &used);
    return used.ru_maxrss;
}

std::size_t memory_watch::available_bytes()
{
    auto available
        = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    // A control group without a limit has a word in place of a number.
    std::size_t limit = 0;
    if (std::ifstream file("/sys/fs/cgroup/memory.max"); file >> limit && limit > 0)
        available = std::min(available, limit);
    return available;
}

std::optional<std::int64_t> memory_watch::take_growth(instant now)
{
    if (now - m_checked_at < check_interval)
        return std::nullopt;
    m_checked_at = now;
    return record_peak(peak_kib());
}

std::optional<std::int64_t> memory_watch::record_peak(std::int64_t peak_kib)
{
    if (peak_kib < m_reported_kib + min_growth_kib || peak_kib < m_reported_kib + m_reported_kib / growth_divisor)
        return std::nullopt;
    m_reported_kib = peak_kib;
    return peak_kib;
}

} // namespace shedhill::daemon
