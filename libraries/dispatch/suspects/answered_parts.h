// SPDX-License-Identifier: BSD-2-Clause
// Remembers which prompt parts were answered lately. A part that crashes endpoints is never answered, so an answer
// speaks for a part that ran where an endpoint crashed.
#pragma once

#include "base/units.h"
#include "libraries/dispatch/suspects/crash_record.h"

#include <unordered_map>

namespace shedhill::dispatch {

class answered_parts {
public:
    void record(request_identity const& part, instant now);
    // Returns whether the part was answered at this time or later; false for an answer that is forgotten.
    [[nodiscard]] bool was_answered_since(request_identity const& part, instant then) const;

private:
    using generation = std::unordered_map<request_identity, instant>;

    // Invariant: each holds at most max_parts entries; answers since the start of m_current are in m_current.
    generation m_current;
    generation m_previous;
    instant m_current_began {};
};

} // namespace shedhill::dispatch
