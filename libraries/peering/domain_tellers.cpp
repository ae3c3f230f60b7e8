// SPDX-License-Identifier: BSD-2-Clause
// One teller a failure domain.
#include "libraries/peering/domain_tellers.h"

namespace shedhill::peering {

namespace {

// Sums come about each tenth of a second. Another teller is heard once the one before has missed some, and one whose
// numbers begin anew was restarted.
constexpr milliseconds teller_silence { 400 };

} // namespace

bool domain_tellers::accepts(failure_domain const& domain, vm_name const& teller, std::uint64_t number, instant now)
{
    auto const [found, is_first] = m_tellers.try_emplace(domain, teller_state { teller, number, now });
    auto& known = found->second;
    bool const is_next = known.teller == teller && number > known.number;
    if (!is_first && !is_next && now - known.heard_at < teller_silence)
        return false;
    known = { teller, number, now };
    return true;
}

} // namespace shedhill::peering
