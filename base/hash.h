// SPDX-License-Identifier: BSD-2-Clause
// Hashes that are the same in every process of the fleet, so that all processes agree on which router aggregates which
// account.
#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string_view>

namespace shedhill {

// Returns the 64-bit xxHash (XXH64) of the text.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Rendezvous (highest random weight) hashing: the candidate with the largest weight for a key is chosen.
std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate);

// Maps a hash to the interval [0, 1).
double hash_to_unit_interval(std::uint64_t hash);

team_key key_of(team_name const& team);
endpoint_key key_of(endpoint_name const& endpoint);
// Identifies one instance of the process behind an endpoint name. The instance is 0 if the endpoint does not
// distinguish its instances.
endpoint_key key_of(endpoint_name const& endpoint, std::uint64_t instance);

pool_key key_of(pool_name const& pool);
// Identifies a stream. Another team's request with the same id begins another stream.
stream_key key_of_stream(team_key team, std::string_view first_request);
// Identifies a version of the software of a pool's endpoints. Equal versions of two pools have different keys.
software_key key_of_software(pool_name const& pool, std::string_view version);

// Returns the account to which the service of a team in a pool is charged.
account_id account_of(team_name const& team, pool_name const& pool);

} // namespace shedhill
