// SPDX-License-Identifier: BSD-2-Clause
// Tracks the current delegate of each failure domain and the last sequence number received from it.
#include "libraries/peering/domain_delegates.h"

namespace shedhill::peering {

namespace {

// A delegate sends its sums about every 100 ms. After this time without a message, another router is accepted as the
// delegate, and so is the same one with lower sequence numbers, which has restarted.
constexpr milliseconds delegate_timeout { 400 };

} // namespace

bool domain_delegates::accepts(
    failure_domain const& domain, vm_name const& delegate, std::uint64_t sequence_number, instant now)
{
    auto const [found, is_first] = m_delegates.try_emplace(domain, delegate_state { delegate, sequence_number, now });
    auto& current = found->second;
    bool const is_next = current.delegate == delegate && sequence_number > current.sequence_number;
    if (!is_first && !is_next && now - current.last_received_at < delegate_timeout)
        return false;
    current = { delegate, sequence_number, now };
    return true;
}

} // namespace shedhill::peering
