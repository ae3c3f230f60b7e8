// SPDX-License-Identifier: BSD-2-Clause
// Implements the stable hashes by XXH64.
#include "base/hash.h"

#include <xxhash.h>

namespace shedhill {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) { return XXH64(text.data(), text.size(), seed); }

std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate) { return stable_hash(candidate, key); }

double hash_to_unit_interval(std::uint64_t hash)
{
    // A double has a 53-bit significand, so the top 53 bits of the hash are used.
    return static_cast<double>(hash >> 11U) * 0x1.0p-53;
}

team_key key_of(team_name const& team) { return team_key(stable_hash(team.value())); }

endpoint_key key_of(endpoint_name const& endpoint) { return endpoint_key(stable_hash(endpoint.value())); }

endpoint_key key_of(endpoint_name const& endpoint, std::uint64_t instance)
{
    return endpoint_key(stable_hash(endpoint.value(), instance));
}

pool_key key_of(pool_name const& pool) { return pool_key(stable_hash(pool.value())); }

stream_key key_of_stream(team_key team, std::string_view first_request)
{
    return stream_key(stable_hash(first_request, team.value()));
}

software_key key_of_software(pool_name const& pool, std::string_view version)
{
    return software_key(static_cast<std::uint32_t>(stable_hash(version, key_of(pool).value())));
}

account_id account_of(team_name const& team, pool_name const& pool)
{
    return account_id(stable_hash(team.value(), stable_hash(pool.value())));
}

} // namespace shedhill
