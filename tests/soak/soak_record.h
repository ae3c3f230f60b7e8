// SPDX-License-Identifier: BSD-2-Clause
// Records what callers and replicas observed in a soak run, and checks it against the guarantees.
#pragma once

#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shedhill::soak {

using soak_clock = std::chrono::steady_clock;

enum class request_form {
    // A request that may run at most once.
    order,
    // A request that may be repeated.
    look,
    // A stream that may be resumed, and one that may not be.
    stream,
    stream_once,
};

// The outcome of a request for its caller.
enum class caller_end {
    whole,
    // The connection ended within the answer.
    broken,
    // The connection ended before the first byte of the answer.
    closed,
    // The caller abandoned the request.
    left,
    // No final answer arrived within the longest time that an answer may take.
    unanswered,
};

struct caller_request {
    std::string id;
    request_form form { request_form::look };
    // Asks the replica for an answer with neither a length nor chunks.
    bool is_unframed { false };
    std::size_t router { 0 };
    soak_clock::time_point sent_at;
    soak_clock::time_point ended_at;
    caller_end end { caller_end::whole };
    // The answer's framing marked its end. Otherwise the end of its connection did, which does not prove that it is
    // whole.
    bool has_marked_end { true };
    unsigned status { 0 };
    std::string answered_id;
    std::string signature;
    std::string body;
    // Set if the request resumes a stream: the id of the request that brought its first event, and the last event that
    // the caller has received.
    std::string first_request;
    int last_event { 0 };

    // The number of whole events in the body of a stream.
    [[nodiscard]] int events() const;
};

// The revision that a router had in force, observed in an answer on a route that only this revision has.
struct observed_revision {
    std::size_t router { 0 };
    // Number of the router's process, counted from 1 for the first start.
    std::uint64_t instance { 0 };
    std::uint64_t revision { 0 };
};

// What the replicas recorded about one request.
struct request_executions {
    std::uint32_t arrivals { 0 };
    std::uint32_t runs { 0 };
    std::string method;
    std::string target;
};

// A period in which callers may lose requests because of a fault.
struct failure_span {
    soak_clock::time_point from;
    soak_clock::time_point to;
};

// An event that a replica recorded: an arrival, a crash, or an answer with a notice about the replica.
struct replica_event {
    std::string incarnation;
    // The id of the request that arrived or was answered.
    std::string id;
    soak_clock::time_point at;
};

// A period in which a router was stopped, killed or paused, so that it lost notices or processed them late.
struct router_disruption {
    std::size_t router { 0 };
    failure_span span;
};

// A period in which a fault affected the link of a replica.
struct link_disruption {
    std::size_t replica { 0 };
    failure_span span;
};

// One sending of a request that crashes each replica that runs it.
struct harmful_request {
    std::string id;
    std::string target;
    std::size_t router { 0 };
};

struct soak_record {
    std::vector<caller_request> requests;
    // Ordered by arrival for each router.
    std::vector<observed_revision> revisions;
    // By request id.
    std::map<std::string, request_executions> executions;
    std::vector<failure_span> failures;
    std::vector<router_disruption> router_disruptions;
    std::vector<link_disruption> link_disruptions;
    std::vector<replica_event> arrivals;
    // Answers that asked for back-off, and answers that announced that the replica leaves.
    std::vector<replica_event> backoffs;
    std::vector<replica_event> leavings;
    std::vector<harmful_request> harmful_requests;
    // Crashes of replicas by harmful requests.
    std::vector<replica_event> crashes;
    // Violations found during the run, such as a process that ended by itself.
    std::vector<std::string> findings;
};

// The HTTP method and target of a request of this form.
std::string method_of(request_form form);
std::string target_of(request_form form);
std::string target_of(caller_request const& request);
// Tells whether a request of this form may run more than once.
bool may_repeat(request_form form);

// Returns one line for each violated guarantee.
std::vector<std::string> find_violations(soak_record const& record);

} // namespace shedhill::soak
