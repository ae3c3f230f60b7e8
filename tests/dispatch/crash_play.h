// SPDX-License-Identifier: BSD-2-Clause
// Several dispatchers that tell each other what they know, before plain endpoints that crash, in virtual time.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace shedhill::dispatch {

class crash_play {
public:
    struct options {
        std::size_t routers { 3 };
        std::size_t endpoints { 8 };
        // From a router's report until another one has it.
        milliseconds news_delay { 40 };
        // From a request's beginning to run until its end, or its endpoint's.
        milliseconds run_time { 60 };
    };

    explicit crash_play(options wanted);

    // A caller's request at the router. One that is harmful ends the endpoint that runs it.
    void ask(std::size_t router, content_hash content);
    void set_harmful(content_hash content, bool is_harmful);
    // Without what it knew; it hears of the others after the delay of news.
    void restart_router(std::size_t router);
    // It does nothing until then.
    void freeze_router(std::size_t router, milliseconds lasts);
    void crash_endpoint(std::size_t endpoint);
    // All connections to endpoints break.
    void reset_connections();
    void wait(milliseconds time);

    [[nodiscard]] std::size_t routers() const { return m_routers.size(); }
    [[nodiscard]] std::size_t endpoints() const { return m_endpoints.size(); }
    [[nodiscard]] std::size_t served(content_hash content) const;
    [[nodiscard]] std::size_t refused(content_hash content) const;
    // Endpoints that ended under the request.
    [[nodiscard]] std::size_t lost_to(content_hash content) const;
    // Requests that reached an endpoint later than the time after the third end, from routers that nothing had
    // disturbed for as long.
    [[nodiscard]] std::size_t sent_after_third(content_hash content, milliseconds later) const;

private:
    struct run {
        std::size_t router { 0 };
        std::uint64_t life { 0 };
        request_number request;
        attempt_number attempt;
        content_hash content;
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
        std::uint64_t life { 0 };
        instant frozen_until {};
        instant disturbed_at {};
        std::vector<std::pair<instant, event_body>> inbox;
        std::map<request_number, content_hash> asked;
    };
    struct arrival {
        instant at {};
        bool is_in_touch { false };
    };
    struct story {
        std::vector<instant> ends;
        std::vector<arrival> arrivals;
        std::size_t served { 0 };
        std::size_t refused { 0 };
        bool is_harmful { false };
    };

    void begin_router(std::size_t index);
    void tell(std::size_t router, event_body body, milliseconds delay);
    void take(std::size_t router, event_body body);
    void carry_out(std::size_t router, effect const& done);
    void end_endpoint(endpoint& ended);
    void list_endpoints();
    void step();
    void finish_runs();
    void exchange_reports();

    options m_options;
    configuration m_configuration;
    instant m_now { milliseconds(1000) };
    std::uint64_t m_draw { 1 };
    std::uint64_t m_last_request { 0 };
    std::vector<endpoint> m_endpoints;
    std::vector<router> m_routers;
    std::map<content_hash, story> m_stories;
};

} // namespace shedhill::dispatch
