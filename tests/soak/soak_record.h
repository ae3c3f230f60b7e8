// SPDX-License-Identifier: BSD-2-Clause
// What callers and replicas saw in a soak run, and the promises that this is checked against.
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
    // May run once at the most.
    order,
    // May be repeated.
    look,
    // A stream that may be resumed, and one that may not.
    stream,
    stream_once,
};

// How a request ended for its caller.
enum class caller_end {
    whole,
    // The connection ended in the middle of the answer.
    broken,
    // The connection ended before the answer's first byte.
    closed,
    // The caller went away.
    left,
    // The caller waited longer than any answer may take.
    unanswered,
};

struct caller_request {
    std::string id;
    request_form form { request_form::look };
    std::size_t router { 0 };
    soak_clock::time_point asked_at;
    soak_clock::time_point ended_at;
    caller_end end { caller_end::whole };
    unsigned status { 0 };
    std::string answered_id;
    std::string signature;
    std::string body;
};

// An answer on a route that only one revision has: which revision a router has in force.
struct revision_seen {
    std::size_t router { 0 };
    // Counts the starts of the router.
    std::uint64_t life { 0 };
    std::uint64_t revision { 0 };
};

// What replicas wrote down of one request.
struct replica_record {
    std::uint32_t arrivals { 0 };
    std::uint32_t runs { 0 };
    std::string method;
    std::string target;
};

// A span of time in which callers may lose requests, since something had failed.
struct failure_span {
    soak_clock::time_point from;
    soak_clock::time_point to;
};

// What a replica wrote down: an arrival, or an answer that told something of the replica.
struct replica_event {
    std::string incarnation;
    // Of the request that arrived, or was answered.
    std::string id;
    soak_clock::time_point at;
};

// A router was stopped, killed or paused: what it had been told is gone, or was read late.
struct router_trouble {
    std::size_t router { 0 };
    failure_span span;
};

struct link_trouble {
    std::size_t replica { 0 };
    failure_span span;
};

// A request that ends whatever replica runs it, each time it is sent.
struct harmful_request {
    std::string id;
    std::string target;
    std::size_t router { 0 };
};

struct soak_record {
    std::vector<caller_request> requests;
    // In the order in which each router's answers came.
    std::vector<revision_seen> revisions;
    std::map<std::string, replica_record> replicas;
    std::vector<failure_span> failures;
    std::vector<router_trouble> router_troubles;
    std::vector<link_trouble> link_troubles;
    std::vector<replica_event> arrivals;
    // Answers that asked for rest, and answers that said that the replica leaves.
    std::vector<replica_event> rests;
    std::vector<replica_event> leavings;
    std::vector<harmful_request> harmful;
    // Ends of replicas under harmful requests.
    std::vector<replica_event> crashes;
    // Found while the run went on, such as a process that ended by itself.
    std::vector<std::string> findings;
};

// Method and target of a request, by its form.
std::string method_of(request_form form);
std::string target_of(request_form form);
// Whether the request may run more than once.
bool may_repeat(request_form form);

// One line for each promise that was broken.
std::vector<std::string> find_broken_promises(soak_record const& record);

} // namespace shedhill::soak
