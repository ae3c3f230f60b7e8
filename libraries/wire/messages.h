// SPDX-License-Identifier: BSD-2-Clause
// The messages between the processes of the fleet as typed values. codec.h encodes them as frames.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"
#include "libraries/wire/reasons.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::wire {

enum class process_role : std::uint8_t { router, endpoint };

// A leaving VM is about to stop: an endpoint on it receives no new offers, and a router on it aggregates no accounts.
enum class vm_state : std::uint8_t { live, leaving };

// One entry of the platform's VM list. The list lags behind the actual state of the VMs.
struct vm_record {
    vm_name name;
    process_role role { process_role::endpoint };
    vm_state state { vm_state::live };
    // "address:port" of the fleet process on this VM.
    std::string address;
    failure_domain domain;
    // On endpoint VMs: the endpoint that the process on this VM serves.
    endpoint_name endpoint;

    bool operator==(vm_record const&) const = default;
};

// The first message in both directions. The receiver includes the nonce in its proof.
struct hello {
    vm_name vm;
    process_role role { process_role::router };
    process_epoch epoch {};
    std::string nonce;
    // The latest revision of the configuration that the sender knows.
    shedhill::revision revision {};
    bool operator==(hello const&) const = default;
};

// The second message in both directions: a MAC over fields of both hello messages, keyed with the fleet's key.
struct proof {
    std::string mac;
    bool operator==(proof const&) const = default;
};

// A router's current demand for one account at one endpoint.
struct offer_entry {
    account_id account {};
    // The service that the team has received in this pool, fleet-wide as far as the router knows, per unit of weight.
    std::int64_t level { 0 };
    service_units expected_cost {};
    // The number of waiting requests. Zero withdraws the offer.
    std::uint32_t waiting { 0 };
    // The age of the other routers' charges that the level includes.
    milliseconds level_age { 0 };
    std::uint32_t weight { 1 };
    // Lower tiers are served first. At an endpoint with own-first priority, other partners' teams are in tier 1.
    std::uint8_t tier { 0 };
    bool operator==(offer_entry const&) const = default;
};

// A router's demand at one endpoint. Each entry replaces the router's earlier offer of the same account. An offer
// without entries announces only the router's revision.
struct offer {
    shedhill::revision revision {};
    std::vector<offer_entry> entries;
    bool operator==(offer const&) const = default;
};

// The endpoint withdraws all offers of the router, because it is draining or the router's revision is stale.
struct offer_refused {
    reason why { reason::none };
    // The latest revision that the endpoint has received.
    shedhill::revision revision {};
    bool operator==(offer_refused const&) const = default;
};

// Announces an endpoint's slots. It is sent to each router that connects, to all routers when a drain starts, and to a
// few routers while the endpoint has free slots and no offers.
struct endpoint_state {
    std::uint32_t slots { 0 };
    std::uint32_t free_slots { 0 };
    bool is_draining { false };
    // The latest revision that the endpoint has received.
    shedhill::revision revision {};
    bool operator==(endpoint_state const&) const = default;
};

// The endpoint reserves a slot for one request of this account until the router answers with run or no_work.
struct grant {
    grant_number number {};
    account_id account {};
    bool operator==(grant const&) const = default;
};

// The router has no request for a grant. The endpoint releases the reserved slot and withdraws the router's offer of
// the granted account.
struct no_work {
    grant_number number {};
    bool operator==(no_work const&) const = default;
};

struct header {
    std::string name;
    std::string value;
    bool operator==(header const&) const = default;
};

// Runs one attempt of a request in a granted slot.
struct run {
    grant_number grant {};
    request_number request {};
    attempt_number attempt {};
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    bool is_repeatable { true };
    // Whether the endpoint is a model engine, whose service is measured in tokens. The service of a plain service is
    // measured in time.
    bool is_model_call { true };
    // The time until the request's deadline.
    milliseconds time_left { 0 };
    shedhill::revision revision {};
    // The account that is charged for the request, and the request's expected cost.
    account_id account {};
    service_units expected_cost {};
    // The demand of this account after the request, and of other accounts whose levels have changed, so that no
    // separate offer messages are needed.
    std::vector<offer_entry> refresh;
    bool operator==(run const&) const = default;
};

// The endpoint's process guarantees that the attempt has not run and will not run.
struct refused {
    request_number request {};
    attempt_number attempt {};
    reason why { reason::none };
    // The latest revision that the endpoint has received.
    shedhill::revision revision {};
    bool operator==(refused const&) const = default;
};

// The router does not need the rest of an attempt's answer. The endpoint sends no more messages about the attempt.
struct cancel {
    request_number request {};
    attempt_number attempt {};
    bool operator==(cancel const&) const = default;
};

// A part of the answer of an attempt.
struct chunk {
    request_number request {};
    attempt_number attempt {};
    chunk_sequence sequence {};
    // The status and the content type are set on the first chunk only.
    std::uint16_t status { 0 };
    std::string content_type;
    std::string data;
    // The total service of this attempt up to and including this chunk.
    service_units service {};
    bool operator==(chunk const&) const = default;
};

// The last message about an attempt that the endpoint has started.
struct finished {
    request_number request {};
    attempt_number attempt {};
    // The number of chunks sent before this message.
    chunk_sequence sequence {};
    run_outcome outcome { run_outcome::unknown };
    reason why { reason::none };
    service_units service {};
    // The number of free slots if the endpoint has no offers, otherwise 0.
    std::uint32_t free_slots { 0 };
    bool operator==(finished const&) const = default;
};

// An amount of service of one account. Its meaning depends on the field that holds it.
struct account_value {
    account_id account {};
    service_units value {};
    bool operator==(account_value const&) const = default;
};

// A router's report to the aggregator of some accounts. The values are cumulative since the start of the reporter's
// epoch, so that late, duplicate or reordered reports have no effect.
struct service_report {
    process_epoch epoch {};
    std::uint64_t sequence { 0 };
    // The service that the reporter has charged to each account.
    std::vector<account_value> values;
    // For an aggregator that is new to the reporter: the largest sum that the reporter has received for each account,
    // from which the aggregator restores its state.
    std::vector<account_value> rebuild;
    // Accounts that become active after being idle, each with a lower bound for the service that it counts as received.
    std::vector<account_value> activations;
    bool operator==(service_report const&) const = default;
};

// The aggregator's answer: for each reported account the service charged by all routers except the reporter.
struct service_reading {
    // The reporter's epoch, copied from its report. The amounts are not valid for a later epoch of that reporter.
    process_epoch epoch {};
    std::vector<account_value> others;
    bool operator==(service_reading const&) const = default;
};

// Requests another router's configuration when the platform is unavailable.
struct snapshot_request {
    revision newer_than {};
    bool operator==(snapshot_request const&) const = default;
};

// The answer to a snapshot_request. A router whose configuration is not newer than requested sends no answer.
struct snapshot_reply {
    // The sender's configuration snapshot as JSON.
    std::string snapshot;
    // The VM list as the sender last read it from the platform.
    std::vector<vm_record> vms;
    bool operator==(snapshot_reply const&) const = default;
};

using message = std::variant<hello, proof, offer, offer_refused, endpoint_state, grant, no_work, run, refused, cancel,
    chunk, finished, service_report, service_reading, snapshot_request, snapshot_reply>;

} // namespace shedhill::wire
