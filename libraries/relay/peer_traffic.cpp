// SPDX-License-Identifier: BSD-2-Clause
// Classifies messages by kind.
#include "libraries/relay/peer_traffic.h"

namespace shedhill::relay {

traffic_kind kind_of(peering::peer_message const& message)
{
    auto const* const state = std::get_if<peering::state_message>(&message);
    if (state == nullptr)
        return traffic_kind::documents;
    if (state->report.subject == dispatch::report_subject::router)
        return traffic_kind::own_state;
    return state->is_forwarded ? traffic_kind::passed_on : traffic_kind::domain_sums;
}

} // namespace shedhill::relay
