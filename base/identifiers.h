// SPDX-License-Identifier: BSD-2-Clause
// Names and numbers that identify the objects of the fleet. Each kind has its own type.
#pragma once

#include "base/strong_type.h"

#include <cstdint>
#include <string>

namespace shedhill {

// An organisation that shares capacity with the other partners.
using partner_name = strong_type<std::string, struct partner_name_tag>;
// A team, written "partner/team" so that it is unique in the fleet.
using team_name = strong_type<std::string, struct team_name_tag>;
// An endpoint, written "partner/endpoint".
using endpoint_name = strong_type<std::string, struct endpoint_name_tag>;
// Stable hashes of names. Messages between routers carry them instead of the names.
using team_key = strong_type<std::uint64_t, struct team_key_tag>;
using endpoint_key = strong_type<std::uint64_t, struct endpoint_key_tag>;
// A stable hash of a pool's name and of the version of the software that serves it.
using software_key = strong_type<std::uint32_t, struct software_key_tag>;
// The name of a virtual machine in the platform's VM list.
using vm_name = strong_type<std::string, struct vm_name_tag>;
// A stable hash of the name of a pool.
using pool_key = strong_type<std::uint64_t, struct pool_key_tag>;
// A stable hash of a team and of the id of the caller's request that brought the first event of a stream.
using stream_key = strong_type<std::uint64_t, struct stream_key_tag>;
// The model or plain service that a request addresses. Capacity is shared fairly among teams within each pool.
using pool_name = strong_type<std::string, struct pool_name_tag>;
// The failure domain of a VM.
using failure_domain = strong_type<std::string, struct failure_domain_tag>;
// A group of failure domains with low latency between them. Links between regions have high latency and low bandwidth.
using region_name = strong_type<std::string, struct region_name_tag>;

// Identifies one run of a process. A restarted process has a larger epoch.
using process_epoch = strong_type<std::uint64_t, struct process_epoch_tag>;
// The number of configuration changes accepted so far; it identifies a version of the configuration.
using revision = strong_type<std::uint64_t, struct revision_tag>;
// Numbers a caller's request. It is unique in combination with the router's name and epoch.
using request_number = strong_type<std::uint64_t, struct request_number_tag>;
// Numbers the attempts of one request, starting at 1.
using attempt_number = strong_type<std::uint32_t, struct attempt_number_tag>;
// Numbers a slot that an endpoint's process has reserved for a router.
using grant_number = strong_type<std::uint64_t, struct grant_number_tag>;
// The position of a chunk in the answer of one attempt.
using chunk_sequence = strong_type<std::uint32_t, struct chunk_sequence_tag>;
// Identifies the account of the service that one team receives in one pool.
using account_id = strong_type<std::uint64_t, struct account_id_tag>;
// A stable hash of a request's method, host, path, query and body. A request that a caller repeats has the same hash.
using content_hash = strong_type<std::uint64_t, struct content_hash_tag>;
// Numbers a connection between two processes within one daemon.
using connection_id = strong_type<std::uint64_t, struct connection_id_tag>;

} // namespace shedhill
