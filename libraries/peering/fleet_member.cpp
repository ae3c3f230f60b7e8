// SPDX-License-Identifier: BSD-2-Clause
// Converts fleet members to and from their text form.
#include "libraries/peering/fleet_member.h"

#include <charconv>

namespace shedhill::peering {

std::string to_text(fleet_member const& member)
{
    return member.address + ' ' + std::to_string(member.weight) + ' ' + member.domain.value();
}

fleet_member parse_member(std::string_view text)
{
    fleet_member member;
    auto const first = text.find(' ');
    member.address = std::string(text.substr(0, first));
    if (first == std::string_view::npos)
        return member;
    text.remove_prefix(first + 1);
    auto const second = text.find(' ');
    if (second == std::string_view::npos)
        return member;
    auto const weight = text.substr(0, second);
    (void)std::from_chars(weight.data(), weight.data() + weight.size(), member.weight);
    member.domain = failure_domain(std::string(text.substr(second + 1)));
    return member;
}

} // namespace shedhill::peering
