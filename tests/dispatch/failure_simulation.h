// SPDX-License-Identifier: BSD-2-Clause
// Simulates, in virtual time, several dispatchers that send requests to plain endpoints. Some requests fail wherever
// they run, and some endpoints fail a part of what they get.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace shedhill::dispatch {

class failure_simulation {
public:
    enum class bodies {
        // The failing request has the same content each time.
        same,
        // It has another content each time, as with a timestamp or a counter in its body.
        different,
    };

    struct options {
        std::size_t routers { 1 };
        std::size_t endpoints { 8 };
        // Requests a second over all routers that healthy endpoints answer, and such that fail everywhere.
        double good_per_second { 100 };
        double failing_per_second { 20 };
        bodies failing_bodies { bodies::same };
        attempt_end failing_end { attempt_end::failed };
        // Whether the requests may be sent again after a failure.
        bool are_good_repeatable { true };
        bool are_failing_repeatable { true };
        // The fraction of requests, from 0 to 1, that each of the faulty endpoints fails: the first ones of the list.
        std::size_t faulty_endpoints { 0 };
        double faulty_fraction { 1 };
        milliseconds answer_time { 40 };
        milliseconds failure_time { 5 };
        // The endpoints become faulty at this time, when all of them are known to work.
        milliseconds faulty_from { 0 };
        milliseconds duration { 10000 };
        std::uint64_t seed { 1 };
        dispatch_policy policy {};
    };

    struct outcome {
        // The endpoints without a fault that any router ejected.
        std::set<std::string> ejected_innocents;
        std::size_t faulty_ejected { 0 };
        // The time from the first request at a faulty endpoint until a router first ejected each of them; the whole
        // duration if one was never ejected.
        milliseconds faulty_ejected_after { 0 };
        std::size_t good_requests { 0 };
        // Good requests that were refused or whose callers got a failure.
        std::size_t good_unserved { 0 };
        std::size_t failing_requests { 0 };
        // Attempts of failing requests, and retries of any request.
        std::size_t failing_attempts { 0 };
        std::size_t retries { 0 };
    };

    explicit failure_simulation(options settings);
    [[nodiscard]] outcome run();

private:
    struct request_state {
        bool is_failing { false };
        content_hash content;
        std::size_t attempts { 0 };
    };
    struct router {
        std::unique_ptr<dispatch_reducer> reducer;
        std::map<request_number, request_state> requests;
        std::set<std::string> ejected;
    };
    struct due_event {
        std::size_t router { 0 };
        event_body body;
    };

    void ask(std::size_t router, bool is_failing);
    void ask_due(double per_second, double& owed, bool is_failing);
    void deliver(std::size_t router, event_body body);
    void apply_effect(std::size_t router, effect const& produced);
    void schedule_end(std::size_t router, send_attempt const& sent);
    void record_line(std::size_t router, log_line const& line);
    void record_unserved(std::size_t router, request_number request);
    [[nodiscard]] bool is_faulty(endpoint_name const& endpoint) const;
    // Returns a random number from 0 to 1.
    double draw();

    options m_options;
    outcome m_outcome;
    instant m_now { milliseconds(1000) };
    instant m_started_at {};
    std::uint64_t m_random { 0 };
    std::uint64_t m_last_request { 0 };
    std::vector<router> m_routers;
    std::multimap<instant, due_event> m_due;
};

} // namespace shedhill::dispatch
