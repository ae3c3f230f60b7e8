// SPDX-License-Identifier: BSD-2-Clause
// Simulates, in virtual time, several dispatchers that exchange reports and stream answers from endpoints of several
// software versions, and callers that resume broken streams at other routers.
#pragma once

#include "libraries/dispatch/dispatch_reducer.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shedhill::dispatch {

class stream_simulation {
public:
    struct options {
        std::size_t routers { 3 };
        std::size_t domains { 1 };
        // Time from a router's report, or a change of the endpoint list, until the routers receive it.
        milliseconds delay { 10 };
        // The number of times that a caller resumes a stream that broke off.
        std::size_t resumptions { 3 };
        // The number of reports in 100 that are lost, and of those that arrive twice.
        std::uint64_t lost_percent { 0 };
        // Number of streams that an endpoint runs at once.
        std::uint32_t slots { 64 };
        std::uint64_t seed { 1 };
        // Whether the store keeps the records of streams, and a router that starts reads them.
        bool stores_streams { true };
    };

    // Counts the streams by what became of them.
    struct outcome {
        // Streams of which the callers received the first event, and those that hold events of two versions.
        std::size_t begun { 0 };
        std::size_t mixed { 0 };
        // Requests for new streams, and those of them that began.
        std::size_t asked { 0 };
        // Resumptions by callers, and those of them that brought another event.
        std::size_t resumed { 0 };
        std::size_t continued { 0 };
        // Streams that the callers received whole.
        std::size_t whole { 0 };
    };

    explicit stream_simulation(options settings);

    // Adds an endpoint and publishes the list. Returns its index.
    std::size_t add_endpoint(std::string const& version);
    // Ends the endpoint and its streams. It stays in the list, as after a crash, until unlist_endpoint() is called.
    void crash_endpoint(std::size_t endpoint);
    // Breaks the streams of the endpoint, which stays up.
    void break_streams_of(std::size_t endpoint);
    void drain_endpoint(std::size_t endpoint);
    void unlist_endpoint(std::size_t endpoint);

    // Sends a request for a new stream to a router that is up.
    void ask();
    // Breaks the connections of this fraction of the callers that are receiving a stream.
    void disconnect_callers(double fraction);
    void kill_router(std::size_t router);
    // Starts a killed router without its state.
    void start_router(std::size_t router);
    // While a router is cut off, callers and endpoints reach it, but neither the store nor other routers do.
    void cut_off(std::size_t router);
    void end_cut(std::size_t router);
    // Kills all routers at once, and starts them again, after which the callers whose streams broke off come back.
    void kill_all_routers();
    void start_all_routers();
    void wait(milliseconds time);
    // Asks for this many streams a second for the time.
    void stream(std::size_t per_second, milliseconds time);

    [[nodiscard]] outcome const& result() const { return m_outcome; }
    [[nodiscard]] std::size_t routers() const { return m_routers.size(); }
    [[nodiscard]] std::size_t endpoints() const { return m_endpoints.size(); }
    [[nodiscard]] bool is_up(std::size_t router) const { return m_routers.at(router).reducer != nullptr; }
    [[nodiscard]] dispatch_reducer& reducer(std::size_t router) { return *m_routers.at(router).reducer; }
    [[nodiscard]] std::uint64_t draw(std::uint64_t bound);

private:
    struct endpoint {
        endpoint_entry entry;
        bool is_up { true };
        bool is_listed { true };
    };
    struct message {
        instant at {};
        event_body body;
    };
    struct router {
        std::unique_ptr<dispatch_reducer> reducer;
        bool is_cut_off { false };
        instant cut_off_at {};
        instant reported_at {};
        instant wrote_row_at {};
        std::vector<message> inbox;
    };
    // A caller's stream over all of its requests.
    struct caller_stream {
        std::string first_request;
        std::set<std::string> versions;
        std::size_t events { 0 };
        std::size_t resumptions { 0 };
        // The request that is in progress, and the events that earlier requests brought.
        std::size_t router { 0 };
        std::string request;
        request_number number;
        std::size_t events_before { 0 };
        bool is_active { false };
        bool is_resumed { false };
    };
    // An attempt that an endpoint runs.
    struct run {
        std::size_t stream { 0 };
        std::size_t router { 0 };
        std::size_t endpoint { 0 };
        attempt_number attempt;
        instant next_event_at {};
        bool has_begun { false };
    };

    static constexpr milliseconds step { 10 };
    static constexpr milliseconds report_interval { 50 };
    static constexpr milliseconds row_interval { 1500 };
    static constexpr milliseconds stream_write_interval { 250 };
    static constexpr milliseconds first_event_time { 20 };
    static constexpr milliseconds event_interval { 40 };
    static constexpr std::size_t events_per_stream { 30 };

    [[nodiscard]] failure_domain domain_of(std::size_t router) const;
    void send_request(std::size_t stream, std::size_t router);
    void resume(std::size_t stream);
    void publish_list();
    // What the routers' rows in the store hold, and their periodic writes.
    [[nodiscard]] dispatch::stored_history stored_history() const;
    void write_rows();
    // Exchanges what connected routers tell each other first.
    void connect(std::size_t router);
    void store_streams();
    void greet(std::size_t sender, std::size_t receiver);
    void deliver(std::size_t router, event_body body);
    void carry_out(std::size_t router, effect_list const& effects);
    void start_run(std::size_t router, send_attempt const& attempt);
    void end_runs(std::size_t endpoint);
    void end_run_of(std::size_t stream);
    [[nodiscard]] std::optional<std::size_t> stream_of(std::size_t router, request_number number) const;
    void produce_events();
    void receive_event(run& running);
    void exchange_reports();
    void transmit(std::size_t receiver, peer_report const& report);
    void advance();

    options m_options;
    instant m_now { milliseconds(10000) };
    std::uint64_t m_random { 0 };
    std::uint64_t m_last_request { 0 };
    std::vector<endpoint> m_endpoints;
    std::vector<router> m_routers;
    // The software versions in each router's row of the store.
    std::vector<std::vector<stored_version>> m_rows;
    // The records of streams that the store holds, by failure domain, and when they were written.
    std::map<failure_domain, std::vector<stream_record>> m_stored_streams;
    instant m_streams_stored_at {};
    // Callers that wait until a router is up to resume their streams.
    std::vector<std::size_t> m_returning;
    bool m_is_returning { false };
    std::vector<caller_stream> m_streams;
    std::vector<run> m_runs;
    outcome m_outcome;
};

} // namespace shedhill::dispatch
