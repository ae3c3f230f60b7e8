// SPDX-License-Identifier: BSD-2-Clause
// The data that the fleet stores at the platform and reads from it, independent of the platform's protocol.
#pragma once

#include "base/identifiers.h"
#include "libraries/config/change.h"
#include "libraries/wire/messages.h"

#include <string>

namespace shedhill::table_service {

using wire::vm_record;
using wire::vm_state;
using vm_role = wire::process_role;

// The name of the stored object with the latest configuration snapshot. Routers write it; routers and operators' tools
// read it.
constexpr char const* snapshot_object = "config-snapshot";

// A configuration change with the revision that it created.
struct numbered_change {
    shedhill::revision revision {};
    config::change change;
};

// The exclusive right to run a request that must not be repeated. The first router that writes the row holds the claim.
struct claim {
    // "team/key": the team and the idempotency key of the request.
    std::string key;
    // Unique for each attempt to claim, so that a router whose answer was lost recognises its own claim in the row.
    std::string id;

    bool operator==(claim const&) const = default;
};

enum class claim_verdict {
    // The row holds this claim's id: this router alone may run the request.
    won,
    // The row holds the id of another claim.
    taken,
    // The platform did not answer; the row may or may not hold the id.
    unavailable,
};

} // namespace shedhill::table_service
