// SPDX-License-Identifier: BSD-2-Clause
// Keeps the greatest difference of the clocks, since each answer takes some time to arrive.
#include "libraries/relay/store_clock.h"

#include <algorithm>
#include <utility>

namespace shedhill::relay {

namespace {

std::int64_t count_of(instant time) { return time.time_since_epoch().count(); }

} // namespace

instant store_clock::record_answer(store_milliseconds store_time, instant arrived_at)
{
    if (arrived_at - m_period_began_at >= period) {
        m_period_began_at = arrived_at;
        m_earlier_offset = std::exchange(m_offset, std::nullopt);
    }
    auto const difference = store_time - count_of(arrived_at);
    m_offset = std::max(m_offset.value_or(difference), difference);
    return std::min(arrived_at, *to_own_time(store_time));
}

std::optional<std::int64_t> store_clock::offset() const
{
    if (!m_offset || !m_earlier_offset)
        return m_offset ? m_offset : m_earlier_offset;
    return std::max(*m_offset, *m_earlier_offset);
}

std::optional<instant> store_clock::to_own_time(store_milliseconds store_time) const
{
    auto const difference = offset();
    if (!difference)
        return std::nullopt;
    return instant(milliseconds(store_time - *difference));
}

std::optional<store_milliseconds> store_clock::to_store_time(instant own_time) const
{
    auto const difference = offset();
    if (!difference)
        return std::nullopt;
    return count_of(own_time) + *difference;
}

} // namespace shedhill::relay
