// SPDX-License-Identifier: BSD-2-Clause
// Everything that can happen to the dispatcher. It sees nothing else of the world.
#pragma once

#include "libraries/dispatch/engines/engine_work.h"
#include "libraries/dispatch/suspects/crash_evidence.h"
#include "libraries/dispatch/suspects/crash_record.h"
#include "libraries/dispatch/types.h"

#include <string>
#include <variant>
#include <vector>

namespace shedhill::dispatch {

// A caller's request, read whole.
struct request_arrived {
    request_number request {};
    // The caller's own id of the request, for the log.
    std::string caller_id;
    std::string host;
    std::string path;
    std::string key;
    request_cost cost;
    // How long the caller waits; none where it did not say.
    std::optional<milliseconds> time_left;
    // Where the dispatcher suspects any request.
    std::optional<content_hash> content {};
};

struct caller_left {
    request_number request {};
};

// The first event of a stream, or the answer's head where it is no stream, was passed on.
struct answer_began {
    request_number request {};
    attempt_number attempt {};
};

struct attempt_ended {
    request_number request {};
    attempt_number attempt {};
    attempt_end end { attempt_end::broken };
    // The endpoint's status where a head was read, or 0.
    std::uint16_t status { 0 };
    // Events of the answer passed on by this attempt.
    std::uint32_t events { 0 };
    // Something of an answer reached the caller, by this attempt or an earlier one.
    bool has_answer_begun { false };
    // Of the request, where the attempt broke off, or where any request is suspected.
    std::optional<content_hash> content {};
};

// The head of an answer told something of the endpoint itself. It comes before the attempt's own end.
struct endpoint_told {
    request_number request {};
    endpoint_name endpoint;
    // Whose word it is: a later start of the same name is not bound by it.
    endpoint_key start;
    endpoint_notice notice;
};

// Nothing came from the endpoint for the attempt's silence limit. The attempt goes on unless it is cancelled.
struct attempt_stalled {
    request_number request {};
    attempt_number attempt {};
    bool has_answer_begun { false };
};

// What came of a probe_endpoint.
struct endpoint_probed {
    endpoint_key start;
    probe_outcome outcome { probe_outcome::no_answer };
};

// What this router had quarantined in an earlier life.
struct quarantines_read {
    std::vector<crash_record> records;
};

struct configuration_learned {
    configuration learned;
    // Who told it: the store, or a router.
    std::string source {};
    // Since the store last confirmed it to whoever told it.
    milliseconds age { 0 };
};

// The failure domains whose endpoints an operator wants to receive nothing, all of them.
struct domains_evacuated {
    std::vector<failure_domain> domains;
};

struct endpoints_listed {
    std::vector<endpoint_entry> entries;
};

// What another router has under way at an endpoint, and what it saw there of the pace of reading since its last report.
struct endpoint_load {
    endpoint_key endpoint;
    engine_work work;
    reading_evidence read {};
};

struct team_usage {
    team_key team;
    // Weighted tokens asked for and admitted within the sliding window.
    token_count asked { 0 };
    token_count admitted { 0 };

    bool operator==(team_usage const&) const = default;
};

// A prompt part that a router has sent to an endpoint since its last word.
struct part_placed {
    endpoint_key endpoint;
    std::uint64_t part { 0 };
};

// Whether a report names all endpoints with something under way and all teams, or those of which something changed
// since the last.
enum class report_scope { whole, changes };

// Of whom a report tells: of the router that sends it, or of all routers of its failure domain, added up.
enum class report_subject { router, domain };

// A router or a failure domain, as what it reported is kept.
using report_source = strong_type<std::string, struct report_source_tag>;

// What another router tells.
struct peer_reported {
    vm_name peer {};
    report_scope scope { report_scope::whole };
    std::vector<endpoint_load> loads {};
    std::vector<team_usage> teams {};
    // For how long it has known the fleet's sums, up to their window.
    milliseconds known_span { 0 };
    std::vector<part_placed> parts {};
    // Routers that take no new callers for now, since they have more to do than they can.
    std::uint32_t routers_aside { 0 };
    // The part of what the others can do that is in use, of their time or their links, from 0 to 1.
    double busy_part { 0 };
    report_subject subject { report_subject::router };
    // Of the router that tells; empty where it is not known.
    failure_domain domain {};
    // How many routers it tells of.
    std::uint32_t routers { 1 };
    // Of requests that may crash endpoints.
    std::vector<crash_record> crashes {};

    [[nodiscard]] report_source source() const
    {
        return subject == report_subject::domain ? report_source("domain " + domain.value())
                                                 : report_source("router " + peer.value());
    }
};

struct peer_lost {
    report_source source;
};

// All routers of the fleet, this one included, by the addresses at which they reach each other.
struct routers_listed {
    std::vector<std::string> routers;
    std::string self;
};

struct drain_requested { };

struct tick {
    // How much later than wanted the process came to this tick: it has more to do than it can.
    milliseconds lag { 0 };
    // The part of the time since the last tick in which the process did not wait for anything, from 0 to 1.
    double busy_part { 0 };
    // The part of the VM's link that was in use in that time, in the fuller direction, from 0 to 1.
    double link_part { 0 };
};

using event_body = std::variant<request_arrived, caller_left, answer_began, attempt_ended, attempt_stalled,
    endpoint_told, endpoint_probed, quarantines_read, configuration_learned, domains_evacuated, endpoints_listed,
    routers_listed, peer_reported, peer_lost, drain_requested, tick>;

struct event {
    instant now {};
    // A random number for whatever choice this step makes.
    std::uint64_t draw { 0 };
    event_body body;
};

} // namespace shedhill::dispatch
