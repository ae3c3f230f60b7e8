// SPDX-License-Identifier: BSD-2-Clause
// What the fleet keeps at the platform and reads from it, independent of the platform's protocol.
#pragma once

#include "base/identifiers.h"
#include "libraries/config/change.h"
#include "libraries/wire/messages.h"

#include <string>

namespace shedhill::table_service {

using wire::vm_record;
using wire::vm_state;
using vm_role = wire::process_role;

// The object that holds the latest snapshot of the configuration. Routers write it; routers and operators' tools read
// it.
constexpr char const* snapshot_object = "config-snapshot";

struct numbered_change {
    shedhill::revision revision {};
    config::change change;
};

// The right to run a request that may not be repeated. Written once; the first writer has it.
struct claim {
    // "team/key", unique for each team's key.
    std::string key;
    // Unique for each try, so that a claim whose answer was lost is recognised when it is read back.
    std::string id;

    bool operator==(claim const&) const = default;
};

enum class claim_verdict {
    // The row holds this claim's id: the request may be run here, and nowhere else.
    won,
    // The row holds another id.
    taken,
    // The platform could not say; the row may hold the id or not.
    unavailable,
};

} // namespace shedhill::table_service
