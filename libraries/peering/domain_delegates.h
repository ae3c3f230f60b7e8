// SPDX-License-Identifier: BSD-2-Clause
// Selects, for each remote failure domain, the one router (its delegate) whose sums are counted. Each message holds
// what was sent since the same router's last message, so that counting two delegates at once, as there briefly are when
// one takes over from another, would count the same work twice.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstdint>
#include <map>

namespace shedhill::peering {

class domain_delegates {
public:
    // Returns whether the sums of this message are to be counted: true for the first copy of a message from the
    // domain's current delegate, false for copies that arrive over another link and for other routers of the domain.
    [[nodiscard]] bool accepts(
        failure_domain const& domain, vm_name const& delegate, std::uint64_t sequence_number, instant now);

private:
    struct delegate_state {
        vm_name delegate;
        std::uint64_t sequence_number { 0 };
        instant last_received_at {};
    };

    std::map<failure_domain, delegate_state> m_delegates;
};

} // namespace shedhill::peering
