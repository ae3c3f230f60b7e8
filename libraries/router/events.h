// SPDX-License-Identifier: BSD-2-Clause
// Everything that can happen to a router. The reducer sees nothing else of the world.
#pragma once

#include "libraries/config/change.h"
#include "libraries/table_service/records.h"
#include "libraries/wire/messages.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::router {

// A caller's request, already read whole and parsed at the edge.
struct caller_request {
    request_number request {};
    // SHA-256 of the caller's API key, in hexadecimal.
    std::string key_hash;
    pool_name pool;
    std::string method;
    std::string target;
    std::vector<wire::header> headers;
    std::string body;
    bool is_model_call { true };
    // Whether chunks are passed on as they come. Otherwise the answer is kept back until it is whole.
    bool is_streamed { false };
    bool is_repeatable { true };
    std::string idempotency_key;
    milliseconds time_left { 0 };
};

struct caller_gone {
    request_number request {};
};

struct connection_up {
    connection_id connection {};
    vm_name vm;
    wire::process_role role { wire::process_role::endpoint };
    process_epoch epoch {};
    shedhill::revision revision {};
    // Opened by the other process: another router that reports service or asks for the configuration.
    bool is_incoming { false };
};

struct connection_down {
    connection_id connection {};
};

struct connect_failed {
    vm_name vm;
};

struct message_received {
    connection_id connection {};
    wire::message message;
};

struct vms_listed {
    std::vector<table_service::vm_record> vms;
};

// Routers named in the settings, known before the platform's list has been read.
struct peers_configured {
    std::vector<table_service::vm_record> peers;
};

struct head_read {
    shedhill::revision revision {};
};

struct changes_read {
    std::vector<table_service::numbered_change> changes;
};

struct snapshot_read {
    std::string snapshot;
};

// A read of the platform did not succeed; the poll goes on later.
struct platform_read_failed { };

struct claims_answered {
    std::uint64_t batch { 0 };
    // One verdict for each claim of the batch, in its order.
    std::vector<table_service::claim_verdict> verdicts;
};

struct drain_requested { };

struct tick { };

using event_body = std::variant<caller_request, caller_gone, connection_up, connection_down, connect_failed,
    message_received, vms_listed, peers_configured, head_read, changes_read, snapshot_read, platform_read_failed,
    claims_answered, drain_requested, tick>;

struct event {
    instant now {};
    // A random number for whatever choice this step makes.
    std::uint64_t draw { 0 };
    event_body body;
};

} // namespace shedhill::router
