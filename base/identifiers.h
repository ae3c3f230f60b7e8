// SPDX-License-Identifier: BSD-2-Clause
// Names and numbers that identify the things the fleet handles. Each kind has a type of its own.
#pragma once

#include "base/strong_type.h"

#include <cstdint>
#include <string>

namespace shedhill {

// A partner: one of the organisations that share capacity.
using partner_name = strong_type<std::string, struct partner_name_tag>;
// A team, written "partner/team" so that it is unique in the fleet.
using team_name = strong_type<std::string, struct team_name_tag>;
// An endpoint, written "partner/endpoint".
using endpoint_name = strong_type<std::string, struct endpoint_name_tag>;
// Stable hashes of the names, which messages between routers hold in their place.
using team_key = strong_type<std::uint64_t, struct team_key_tag>;
using endpoint_key = strong_type<std::uint64_t, struct endpoint_key_tag>;
// A virtual machine, as the platform's list names it.
using vm_name = strong_type<std::string, struct vm_name_tag>;
// What a request asks for: a model or a plain service. Fairness is kept within a pool.
using pool_name = strong_type<std::string, struct pool_name_tag>;
// The failure domain of a VM.
using failure_domain = strong_type<std::string, struct failure_domain_tag>;
// Failure domains that stand near each other; between regions the way is long and narrow.
using region_name = strong_type<std::string, struct region_name_tag>;

// One start of a process. A restarted process has a larger epoch.
using process_epoch = strong_type<std::uint64_t, struct process_epoch_tag>;
// The number of accepted configuration changes.
using revision = strong_type<std::uint64_t, struct revision_tag>;
// A caller's request, unique together with the router's name and epoch.
using request_number = strong_type<std::uint64_t, struct request_number_tag>;
// The attempts of one request, counted from 1.
using attempt_number = strong_type<std::uint32_t, struct attempt_number_tag>;
// A slot promised by an endpoint's process to a router.
using grant_number = strong_type<std::uint64_t, struct grant_number_tag>;
// The position of a chunk within the answer of one attempt.
using chunk_sequence = strong_type<std::uint32_t, struct chunk_sequence_tag>;
// The service of one team in one pool.
using account_id = strong_type<std::uint64_t, struct account_id_tag>;
// A stable hash of a request's method, host, path, query and body: the same where a caller sends it again.
using content_hash = strong_type<std::uint64_t, struct content_hash_tag>;
// A connection between two processes, as the daemon numbers them.
using connection_id = strong_type<std::uint64_t, struct connection_id_tag>;

} // namespace shedhill
