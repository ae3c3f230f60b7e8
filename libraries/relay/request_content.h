// SPDX-License-Identifier: BSD-2-Clause
// Hashes what a request asks for, which identifies the request when it is sent again under another id.
#pragma once

#include "base/identifiers.h"
#include "libraries/relay/caller_connection.h"

namespace shedhill::relay {

// Hashes method, host, target and body. The other headers are omitted, since ids and deadlines differ between attempts.
[[nodiscard]] content_hash content_of(caller_request const& request);

} // namespace shedhill::relay
