// SPDX-License-Identifier: BSD-2-Clause
// Sums and the largest of their ratios.
#include "libraries/dispatch/endpoints/pool_scarcity.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

double ratio(double part, double whole) { return whole > 0 ? std::min(part / whole, 1.0) : 0; }

} // namespace

void pool_scarcity::add(engine_size const& size, engine_work const& work, double before_ms)
{
    ++m_engines;
    m_reading += before_ms > m_policy.idle_reading_ms ? 1 : 0;
    m_places += size.slots;
    m_taken += std::min(work.running, size.slots);
    m_memory += size.memory;
    m_held += size.memory > 0 ? work.held : 0;
}

double pool_scarcity::part_in_use() const
{
    if (m_engines == 0)
        return 1;
    auto const memory = static_cast<double>(m_memory) * m_policy.memory_filled;
    return std::max(
        { ratio(m_taken, m_places), ratio(m_reading, m_engines), ratio(static_cast<double>(m_held), memory) });
}

double pool_scarcity::scarcity() const
{
    auto const scarce_from = m_policy.scarce_from;
    auto const binding_in_full = std::max(m_policy.load_past_share, scarce_from);
    auto const used = part_in_use();
    if (used >= binding_in_full)
        return 1;
    return std::max((used - scarce_from) / (binding_in_full - scarce_from), 0.0);
}

} // namespace shedhill::dispatch
