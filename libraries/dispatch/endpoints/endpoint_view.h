// SPDX-License-Identifier: BSD-2-Clause
// Describes, for operators, the endpoints that receive no new work or less than others, and the reason.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <string_view>

namespace shedhill::dispatch {

enum class hold_reason {
    // The endpoint asked this router to back off.
    resting,
    // The endpoint announced in an answer that it is about to stop.
    leaving,
    // The endpoint's row says that it is about to stop.
    draining,
    evacuated,
    ejected,
    cold,
};

constexpr std::string_view name_of(hold_reason reason)
{
    switch (reason) {
    case hold_reason::resting:
        return "resting";
    case hold_reason::leaving:
        return "leaving";
    case hold_reason::draining:
        return "draining";
    case hold_reason::evacuated:
        return "evacuated";
    case hold_reason::ejected:
        return "ejected";
    case hold_reason::cold:
        break;
    }
    return "cold";
}

// An endpoint that receives no new work or less than others, and one reason for that. The metric
// shedhill_endpoint_held_ms contains one sample for each.
struct held_endpoint {
    endpoint_name name;
    pool_name pool;
    failure_domain domain;
    hold_reason reason { hold_reason::resting };
    // Remaining time; 0 where it is unknown.
    milliseconds left { 0 };
};

} // namespace shedhill::dispatch
