// SPDX-License-Identifier: BSD-2-Clause
// Implements the sums and takes the largest of their ratios.
#include "libraries/dispatch/endpoints/pool_scarcity.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

double ratio(double part, double whole) { return whole > 0 ? std::min(part / whole, 1.0) : 0; }

} // namespace

void pool_scarcity::add(engine_size const& size, engine_work const& work, double queue_ms)
{
    ++m_engines;
    m_prefilling += queue_ms > m_policy.idle_reading_ms ? 1 : 0;
    m_slots += size.slots;
    m_used_slots += std::min(work.running, size.slots);
    m_kv_capacity += size.kv_capacity;
    m_kv_tokens += size.kv_capacity > 0 ? work.kv_tokens : 0;
}

double pool_scarcity::used_fraction() const
{
    if (m_engines == 0)
        return 1;
    auto const kv_capacity = static_cast<double>(m_kv_capacity) * m_policy.memory_filled;
    return std::max({ ratio(m_used_slots, m_slots), ratio(m_prefilling, m_engines),
        ratio(static_cast<double>(m_kv_tokens), kv_capacity) });
}

double pool_scarcity::scarcity() const
{
    auto const scarce_from = m_policy.scarce_from;
    auto const full_from = std::max(m_policy.load_past_share, scarce_from);
    auto const used = used_fraction();
    if (used >= full_from)
        return 1;
    return std::max((used - scarce_from) / (full_from - scarce_from), 0.0);
}

} // namespace shedhill::dispatch
