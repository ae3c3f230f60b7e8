// SPDX-License-Identifier: BSD-2-Clause
// Finds the gaps between the versions of received rows.
#include "libraries/dispatch/store/store_versions.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// Exceeds the number of rows that change between two answers while 3,000 endpoints start. Beyond it, the oldest
// versions count as explained.
constexpr std::size_t max_rows = 8192;

} // namespace

void store_versions::record_row(std::uint64_t version)
{
    if (version <= m_complete)
        return;
    m_rows.insert(version);
    if (m_rows.size() > max_rows)
        record_complete(*m_rows.begin());
}

void store_versions::record_newest(std::uint64_t version, instant now)
{
    m_newest = std::max(m_newest, version);
    find_unexplained(now);
}

void store_versions::record_complete(std::uint64_t version)
{
    m_complete = std::max(m_complete, version);
    m_rows.erase(m_rows.begin(), m_rows.upper_bound(m_complete));
    if (m_unexplained && m_unexplained->version <= m_complete)
        m_unexplained.reset();
}

void store_versions::find_unexplained(instant now)
{
    auto candidate = m_newest;
    while (candidate > m_complete && m_rows.contains(candidate))
        --candidate;
    if (candidate <= m_complete)
        m_unexplained.reset();
    else if (!m_unexplained || m_unexplained->version != candidate)
        m_unexplained = unexplained_version { candidate, now };
}

} // namespace shedhill::dispatch
