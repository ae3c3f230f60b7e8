// SPDX-License-Identifier: BSD-2-Clause
// Everything a router does. The reducer returns these as data; the daemon, or a test, carries them out.
#pragma once

#include "libraries/table_service/records.h"
#include "libraries/wire/messages.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace shedhill::router {

// The whole answer in one piece, or a refusal. Final.
struct answer_whole {
    request_number request {};
    std::uint16_t status { 0 };
    std::string content_type;
    std::string body;
    wire::run_outcome outcome { wire::run_outcome::not_run };
    wire::reason why { wire::reason::none };
    // When to come back, on refusals for want of capacity.
    std::optional<std::chrono::seconds> retry_after;
};

struct answer_start {
    request_number request {};
    std::uint16_t status { 0 };
    std::string content_type;
};

struct answer_chunk {
    request_number request {};
    std::string data;
};

// The end of a streamed answer. With a reason the answer is not whole, and the caller is told so. Final.
struct answer_end {
    request_number request {};
    wire::run_outcome outcome { wire::run_outcome::ran };
    wire::reason why { wire::reason::none };
};

struct send_message {
    connection_id connection {};
    wire::message message;
};

struct open_connection {
    vm_name vm;
    std::string address;
};

struct close_connection {
    connection_id connection {};
};

struct list_vms { };

struct read_head { };

struct read_changes {
    revision after {};
};

struct read_snapshot { };

// Puts the snapshot of a revision into the object store, for those that start later.
struct write_snapshot {
    shedhill::revision revision {};
    std::string snapshot;
};

struct write_claims {
    std::uint64_t batch { 0 };
    std::vector<table_service::claim> claims;
};

// Takes back claims of requests that were proved not run, where the row still holds the claim's id.
struct release_claims {
    std::vector<table_service::claim> claims;
};

struct set_ready {
    bool is_ready { false };
};

// The drain is complete: nothing is in flight.
struct stop_process { };

enum class counter {
    requests,
    answers_whole,
    grants_received,
    grants_without_work,
    grants_moved,
    offers_sent,
    chunks_ignored,
    changes_applied,
    changes_refused,
    links_widened,
    reports_sent,
    count,
};

struct count_event {
    counter which { counter::count };
};

struct count_refusal {
    wire::reason why { wire::reason::none };
};

struct count_retry {
    wire::reason why { wire::reason::none };
};

// A change of state worth a line.
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
