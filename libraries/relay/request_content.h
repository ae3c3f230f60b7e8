// SPDX-License-Identifier: BSD-2-Clause
// What a request asks for, by which it is known when it is sent again under another id.
#pragma once

#include "base/identifiers.h"
#include "libraries/relay/caller_connection.h"

namespace shedhill::relay {

// Of method, host, target and body. Headers are left out: ids and deadlines differ from try to try.
[[nodiscard]] content_hash content_of(caller_request const& request);

} // namespace shedhill::relay
