// SPDX-License-Identifier: BSD-2-Clause
// The messages between the fleet's processes as typed values. codec.h turns them into frames.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"
#include "libraries/wire/reasons.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::wire {

enum class process_role : std::uint8_t { router, endpoint };

enum class vm_state : std::uint8_t { live, leaving };

// One line of the platform's list of VMs. The list lags behind.
struct vm_record {
    vm_name name;
    process_role role { process_role::endpoint };
    vm_state state { vm_state::live };
    // "address:port" of the fleet's process there.
    std::string address;
    failure_domain domain;
    // On endpoint VMs: the endpoint beside the process.
    endpoint_name endpoint;

    bool operator==(vm_record const&) const = default;
};

// First message in both directions. The nonce goes into the other side's proof.
struct hello {
    vm_name vm;
    process_role role { process_role::router };
    process_epoch epoch {};
    std::string nonce;
    shedhill::revision revision {};
    bool operator==(hello const&) const = default;
};

// Second message in both directions: a MAC over both hellos under the fleet's key.
struct proof {
    std::string mac;
    bool operator==(proof const&) const = default;
};

// A router's standing demand for one account at one endpoint.
struct offer_entry {
    account_id account {};
    // Service received by the team in this pool, fleet-wide as far as the router knows, for each unit of weight.
    std::int64_t level { 0 };
    service_units expected_cost {};
    // How many requests wait. Zero withdraws the offer.
    std::uint32_t waiting { 0 };
    // How old the fleet-wide part of the level is.
    milliseconds level_age { 0 };
    std::uint32_t weight { 1 };
    // Lower tiers are served first: guests of an own-first endpoint are in tier 1.
    std::uint8_t tier { 0 };
    bool operator==(offer_entry const&) const = default;
};

struct offer {
    shedhill::revision revision {};
    std::vector<offer_entry> entries;
    bool operator==(offer const&) const = default;
};

struct offer_refused {
    reason why { reason::none };
    shedhill::revision revision {};
    bool operator==(offer_refused const&) const = default;
};

struct endpoint_state {
    std::uint32_t slots { 0 };
    std::uint32_t free_slots { 0 };
    bool is_draining { false };
    shedhill::revision revision {};
    bool operator==(endpoint_state const&) const = default;
};

// The endpoint holds a slot for one request of this account until the router runs one or says that it has none.
struct grant {
    grant_number number {};
    account_id account {};
    bool operator==(grant const&) const = default;
};

struct no_work {
    grant_number number {};
    bool operator==(no_work const&) const = default;
};

struct header {
    std::string name;
    std::string value;
    bool operator==(header const&) const = default;
};

struct run {
    grant_number grant {};
    request_number request {};
    attempt_number attempt {};
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    bool is_repeatable { true };
    // A call of a model engine, whose service is counted in tokens; otherwise a plain service's, counted in time.
    bool is_model_call { true };
    milliseconds time_left { 0 };
    shedhill::revision revision {};
    // Which account the request belongs to, and what it is expected to cost.
    account_id account {};
    service_units expected_cost {};
    // The account's standing demand after this request, and that of others whose levels have moved, so that no separate
    // offers are needed.
    std::vector<offer_entry> refresh;
    bool operator==(run const&) const = default;
};

// The attempt was not run and will not be: the endpoint's process vouches for it.
struct refused {
    request_number request {};
    attempt_number attempt {};
    reason why { reason::none };
    shedhill::revision revision {};
    bool operator==(refused const&) const = default;
};

struct cancel {
    request_number request {};
    attempt_number attempt {};
    bool operator==(cancel const&) const = default;
};

struct chunk {
    request_number request {};
    attempt_number attempt {};
    chunk_sequence sequence {};
    // Both are set on the first chunk only.
    std::uint16_t status { 0 };
    std::string content_type;
    std::string data;
    // The service of this attempt so far.
    service_units service {};
    bool operator==(chunk const&) const = default;
};

struct finished {
    request_number request {};
    attempt_number attempt {};
    // How many chunks came before.
    chunk_sequence sequence {};
    run_outcome outcome { run_outcome::unknown };
    reason why { reason::none };
    service_units service {};
    // Slots for which the endpoint knows no demand.
    std::uint32_t free_slots { 0 };
    bool operator==(finished const&) const = default;
};

// An amount of service of one account; the field that holds it says which amount.
struct account_value {
    account_id account {};
    service_units value {};
    bool operator==(account_value const&) const = default;
};

// A router's report to the home of some accounts. All amounts are cumulative since the reporter's epoch began, so that
// a report that is late, doubled or overtaken changes nothing.
struct service_report {
    process_epoch epoch {};
    std::uint64_t sequence { 0 };
    // What the reporter has charged to each account.
    std::vector<account_value> values;
    // For a home that is new to the reporter: the largest sum it has been told, from which the home rebuilds.
    std::vector<account_value> rebuild;
    // Accounts that return from idle, with the least amount that they may count as having received.
    std::vector<account_value> activations;
    bool operator==(service_report const&) const = default;
};

// What the home answers: for each account what all but the asker have been charged.
struct service_reading {
    // The epoch of the reporter that asked: what others had means nothing to a later epoch.
    process_epoch epoch {};
    std::vector<account_value> others;
    bool operator==(service_reading const&) const = default;
};

// Asks another router for its configuration, when the platform cannot be read.
struct snapshot_request {
    revision newer_than {};
    bool operator==(snapshot_request const&) const = default;
};

struct snapshot_reply {
    std::string snapshot;
    // The VMs that the sender knows of, as old as its own reading of the platform's list.
    std::vector<vm_record> vms;
    bool operator==(snapshot_reply const&) const = default;
};

using message = std::variant<hello, proof, offer, offer_refused, endpoint_state, grant, no_work, run, refused, cancel,
    chunk, finished, service_report, service_reading, snapshot_request, snapshot_reply>;

} // namespace shedhill::wire
