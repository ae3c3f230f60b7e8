// SPDX-License-Identifier: BSD-2-Clause
// Stable hashes: the same on every process of the fleet, so that all agree on who is home for what.
#pragma once

#include "base/identifiers.h"

#include <cstdint>
#include <string_view>

namespace shedhill {

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

// Rendezvous hashing: of the candidates for a key, the one with the largest weight is chosen.
std::uint64_t rendezvous_weight(std::uint64_t key, std::string_view candidate);

// A hash as a number from 0 up to 1.
double unit_share(std::uint64_t hash);

team_key key_of(team_name const& team);
endpoint_key key_of(endpoint_name const& endpoint);
// Of one start of the endpoint under its name; 0 where it does not tell its starts apart.
endpoint_key key_of(endpoint_name const& endpoint, std::uint64_t start);

account_id account_of(team_name const& team, pool_name const& pool);

} // namespace shedhill
