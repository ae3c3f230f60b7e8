// SPDX-License-Identifier: BSD-2-Clause
// The effects of a router. The reducer returns them as data; the daemon or a test executes them.
#pragma once

#include "libraries/table_service/records.h"
#include "libraries/wire/messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shedhill::router {

// Sends a complete answer or a refusal to the caller. It is the last effect for the request.
struct answer_whole {
    request_number request {};
    std::uint16_t status { 0 };
    std::string content_type;
    std::string body;
    wire::run_outcome outcome { wire::run_outcome::not_run };
    wire::reason why { wire::reason::none };
    // The delay before a retry; set on refusals for lack of capacity.
    std::optional<std::chrono::seconds> retry_after;
};

// Starts a streamed answer with its status and content type.
struct answer_start {
    request_number request {};
    std::uint16_t status { 0 };
    std::string content_type;
};

// Sends a part of a streamed answer to the caller.
struct answer_chunk {
    request_number request {};
    std::string data;
};

// Ends a streamed answer. A reason other than none reports to the caller that the answer is incomplete. It is the last
// effect for the request.
struct answer_end {
    request_number request {};
    wire::run_outcome outcome { wire::run_outcome::ran };
    wire::reason why { wire::reason::none };
};

// Sends a message to the process at the other end of the connection.
struct send_message {
    connection_id connection {};
    wire::message message;
};

// Connects to a VM; the result is connection_up or connect_failed.
struct open_connection {
    vm_name vm;
    std::string address;
};

struct close_connection {
    connection_id connection {};
};

// Requests the platform's list of VMs; the result is vms_listed.
struct list_vms { };

// Requests the latest revision of the configuration; the result is head_read.
struct read_head { };

// Requests the changes that follow a revision; the result is changes_read.
struct read_changes {
    revision after {};
};

// Requests the snapshot in the object store; the result is snapshot_read.
struct read_snapshot { };

// Writes the snapshot of a revision to the object store, from which routers that start later load it.
struct write_snapshot {
    shedhill::revision revision {};
    std::string snapshot;
};

// Writes a batch of idempotency claims to the platform's table; the result is claims_answered.
struct write_claims {
    std::uint64_t batch { 0 };
    std::vector<table_service::claim> claims;
};

// Releases claims of requests that are proved not to have run, for each row that still contains the claim's id.
struct release_claims {
    std::vector<table_service::claim> claims;
};

// Changes whether the process reports itself as ready for callers.
struct set_ready {
    bool is_ready { false };
};

// Stops the process: the drain is complete and no request is in flight.
struct stop_process { };

// The counters of a router; `count` is their number.
enum class counter {
    requests,
    answers_whole,
    grants_received,
    // Grants that were answered with no_work.
    grants_without_work,
    // Grants that were used by another account than the granted one.
    grants_moved,
    offers_sent,
    // Chunks and results of attempts that are not current.
    chunks_ignored,
    changes_applied,
    // Changes of objects of another partner, and snapshots that could not be loaded.
    changes_refused,
    // Endpoints that were added to subsets.
    links_widened,
    reports_sent,
    count,
};

struct count_event {
    counter which { counter::count };
};

// Counts a refusal or an incomplete answer by its reason.
struct count_refusal {
    wire::reason why { wire::reason::none };
};

// Counts another attempt of a request by the reason why the previous one ended.
struct count_retry {
    wire::reason why { wire::reason::none };
};

// Logs a change of state.
struct log_line {
    std::string text;
};

using effect = std::variant<answer_whole, answer_start, answer_chunk, answer_end, send_message, open_connection,
    close_connection, list_vms, read_head, read_changes, read_snapshot, write_snapshot, write_claims, release_claims,
    set_ready, stop_process, count_event, count_refusal, count_retry, log_line>;

using effect_list = std::vector<effect>;

constexpr std::string_view name_of(counter which)
{
    switch (which) {
    case counter::requests:
        return "requests";
    case counter::answers_whole:
        return "answers_whole";
    case counter::grants_received:
        return "grants_received";
    case counter::grants_without_work:
        return "grants_without_work";
    case counter::grants_moved:
        return "grants_moved";
    case counter::offers_sent:
        return "offers_sent";
    case counter::chunks_ignored:
        return "chunks_ignored";
    case counter::changes_applied:
        return "changes_applied";
    case counter::changes_refused:
        return "changes_refused";
    case counter::links_widened:
        return "links_widened";
    case counter::reports_sent:
        return "reports_sent";
    case counter::count:
        break;
    }
    return "invalid";
}

} // namespace shedhill::router
