// SPDX-License-Identifier: BSD-2-Clause
// Describes a router to other routers: its address, its failure domain and its processor quota. The store's table of
// routers and the messages between routers hold it in a text form.
#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::peering {

struct fleet_member {
    std::string address;
    // The failure domain; empty if only the address is known.
    failure_domain domain;
    // The processor quota in thousandths of a core. The router of the highest weight becomes its domain's delegate,
    // since a delegate has the most work.
    std::uint32_t weight { 0 };

    bool operator==(fleet_member const&) const = default;
};

// Formats the member as "ADDRESS WEIGHT DOMAIN".
std::string to_text(fleet_member const& member);
// Parses the text form. Routers of earlier versions write the address alone, which yields a member without a domain.
fleet_member parse_member(std::string_view text);

} // namespace shedhill::peering
