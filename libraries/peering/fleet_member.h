// SPDX-License-Identifier: BSD-2-Clause
// A router as others know it: where it is reached, in which failure domain it is, and how much it can do. Its row in
// the table of routers and what routers tell of each other hold it as one text.
#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::peering {

struct fleet_member {
    std::string address;
    // Empty where only the address is known.
    failure_domain domain;
    // Thousandths of a core that it may use: who tells for a failure domain has the most to do.
    std::uint32_t weight { 0 };

    bool operator==(fleet_member const&) const = default;
};

// "ADDRESS WEIGHT DOMAIN".
std::string to_text(fleet_member const& member);
// A text that is an address alone, as routers of an earlier version write it, gives no domain.
fleet_member parse_member(std::string_view text);

} // namespace shedhill::peering
