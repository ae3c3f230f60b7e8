// SPDX-License-Identifier: BSD-2-Clause
// Simulates, in virtual time, several dispatchers that exchange reports and send requests to plain endpoints, which
// crash when they run a harmful request.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shedhill::dispatch {

class crash_simulation {
public:
    struct options {
        std::size_t routers { 3 };
        // Number of failure domains of the routers, which take turns. The first router of each reports for its domain.
        std::size_t domains { 1 };
        std::size_t endpoints { 8 };
        // Time from a router's report until the other routers receive it.
        milliseconds report_delay { 40 };
        // Time from the arrival of a request at an endpoint until its answer, or until the crash of the endpoint.
        milliseconds run_time { 60 };
        // Additional time until the answer of a request that is harmless.
        milliseconds answer_time { 0 };
    };

    explicit crash_simulation(options settings);

    // Sends a caller's request with this content to the router. A harmful request crashes the endpoint that runs it.
    void ask(std::size_t router, content_hash content);
    void set_harmful(content_hash content, bool is_harmful);
    // A request whose prompt holds shared parts. No two such requests have the same content; they count for their kind.
    struct prompt_request {
        content_hash kind;
        std::vector<std::uint64_t> shared_parts;
        std::string path { "/look/a" };
        std::string key { "red-key" };
    };
    void ask(std::size_t router, prompt_request const& asked);
    // Restarts the router without its state; it receives the reports of the others after `report_delay`.
    void restart_router(std::size_t router);
    // Stops the router for this duration: it processes nothing and accepts no requests.
    void freeze_router(std::size_t router, milliseconds duration);
    void crash_endpoint(std::size_t endpoint);
    // Breaks all connections to endpoints; the endpoints stay up.
    void reset_connections();
    void wait(milliseconds time);

    [[nodiscard]] std::size_t routers() const { return m_routers.size(); }
    [[nodiscard]] std::size_t endpoints() const { return m_endpoints.size(); }
    [[nodiscard]] std::size_t served(content_hash content) const;
    [[nodiscard]] std::size_t refused(content_hash content) const;
    // Number of endpoints that crashed while they ran a request with this content.
    [[nodiscard]] std::size_t endpoints_lost_to(content_hash content) const;
    // Number of requests with this content that reached an endpoint more than `later` after the third crash, from
    // routers that for three seconds had not been restarted, frozen or disconnected.
    [[nodiscard]] std::size_t sent_after_third_crash(content_hash content, milliseconds later) const;
    // The same for this crash, counted from 1.
    [[nodiscard]] std::size_t sent_after_crash(content_hash content, std::size_t crash, milliseconds later) const;
    // Number of quarantines in force at all routers together.
    [[nodiscard]] std::size_t quarantined() const;

private:
    struct asked_request {
        // Requests of one kind share their history.
        content_hash kind;
        content_hash content;
    };
    struct run {
        std::size_t router { 0 };
        std::uint64_t incarnation { 0 };
        request_number request;
        attempt_number attempt;
        asked_request asked;
        instant ends_at {};
    };
    struct endpoint {
        endpoint_entry entry;
        std::uint64_t starts { 0 };
        bool is_up { true };
        bool is_listed { true };
        instant crashed_at {};
        std::vector<run> runs;
    };
    struct router {
        std::unique_ptr<dispatch_reducer> reducer;
        std::uint64_t incarnation { 0 };
        instant frozen_until {};
        instant disturbed_at {};
        std::vector<std::pair<instant, event_body>> inbox;
        std::map<request_number, asked_request> contents;
    };
    struct arrival {
        instant at {};
        bool is_undisturbed { false };
    };
    struct request_history {
        std::vector<instant> crash_times;
        std::vector<arrival> arrivals;
        std::size_t served { 0 };
        std::size_t refused { 0 };
        bool is_harmful { false };
    };

    void deliver_request(std::size_t router, request_arrived arrived, asked_request asked);
    void start_router(std::size_t index);
    void enqueue(std::size_t router, event_body body, milliseconds delay);
    void deliver(std::size_t router, event_body body);
    void apply_effect(std::size_t router, effect const& produced);
    void terminate_endpoint(endpoint& terminated);
    void list_endpoints();
    void advance();
    void finish_runs();
    void exchange_reports();
    void exchange_domain_reports();
    void send_report(std::size_t from, peer_report const& report, bool is_for_own_domain);
    [[nodiscard]] std::size_t domain_of(std::size_t router) const { return router % m_options.domains; }

    options m_options;
    configuration m_configuration;
    instant m_now { milliseconds(1000) };
    std::uint64_t m_random_draw { 1 };
    std::uint64_t m_last_request { 0 };
    std::vector<endpoint> m_endpoints;
    std::vector<router> m_routers;
    std::map<content_hash, request_history> m_histories;
};

} // namespace shedhill::dispatch
