// SPDX-License-Identifier: BSD-2-Clause
// Derives the identities of prompt parts.
#include "libraries/dispatch/suspects/suspect_attributes.h"

#include "base/hash.h"

#include <array>
#include <cstring>

namespace shedhill::dispatch {

request_identity identity_of_part(team_key team, std::uint64_t part)
{
    // Separates the hashes of parts from those of contents.
    constexpr std::uint64_t part_seed = 0x70617274;
    std::array<char, sizeof(part)> bytes {};
    std::memcpy(bytes.data(), &part, sizeof(part));
    return { team, content_hash(stable_hash({ bytes.data(), bytes.size() }, part_seed)) };
}

} // namespace shedhill::dispatch
