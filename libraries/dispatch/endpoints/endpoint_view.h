// SPDX-License-Identifier: BSD-2-Clause
// Why an endpoint gets no new work, or less than others, for operators.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <string_view>

namespace shedhill::dispatch {

enum class hold_reason {
    // It asked this router for rest.
    resting,
    // It said in an answer that it leaves.
    leaving,
    // Its row says that it leaves.
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

struct held_endpoint {
    endpoint_name name;
    pool_name pool;
    failure_domain domain;
    hold_reason reason { hold_reason::resting };
    // For how much longer; 0 where no time is known.
    milliseconds left { 0 };
};

} // namespace shedhill::dispatch
