// SPDX-License-Identifier: BSD-2-Clause
// Hashes each part with the hash of the previous parts as its seed, so that different divisions of the same bytes have
// different hashes.
#include "libraries/relay/request_content.h"

#include "base/hash.h"
#include "libraries/relay/http_message.h"

namespace shedhill::relay {

content_hash content_of(caller_request const& request)
{
    auto hash = stable_hash(to_view(request.method_string()));
    hash = stable_hash(field_of(request, "Host"), hash);
    hash = stable_hash(to_view(request.target()), hash);
    return content_hash(stable_hash(request.body(), hash));
}

} // namespace shedhill::relay
