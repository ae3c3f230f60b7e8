// SPDX-License-Identifier: BSD-2-Clause
// Of the routers that tell the sums of another failure domain, the one whose word is taken. Each sum holds what was
// sent since the same router's last one, so that two tellers at a time, as there are for a moment when one takes over
// from another, would count it twice.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <map>

namespace shedhill::peering {

class domain_tellers {
public:
    // Whether the sums are taken: the first time that they come, from the teller that is heard.
    [[nodiscard]] bool accepts(failure_domain const& domain, vm_name const& teller, std::uint64_t number, instant now);

private:
    struct teller_state {
        vm_name teller;
        std::uint64_t number { 0 };
        instant heard_at {};
    };

    std::map<failure_domain, teller_state> m_tellers;
};

} // namespace shedhill::peering
