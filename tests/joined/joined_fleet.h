// SPDX-License-Identifier: BSD-2-Clause
// Connects the reducers of routers and endpoints by a queue of effects on a virtual clock, with fakes for engines, the
// platform and callers. There is no model of networks or hosts: a message takes a fixed time, and a test may cut
// connections, freeze processes, and lose, duplicate or delay messages.
#pragma once

#include "libraries/endpoint/endpoint_reducer.h"
#include "libraries/router/router_reducer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace shedhill::joined {

// The answer to a request as its caller received it.
struct caller_view {
    std::string text;
    // The number of final answers; more than one is an error of the router.
    int final_answers { 0 };
    wire::run_outcome outcome { wire::run_outcome::unknown };
    wire::reason why { wire::reason::none };
    std::uint16_t status { 0 };
    std::optional<std::chrono::seconds> retry_after;
    instant asked_at {};
    instant answered_at {};
};

struct request_plan {
    std::size_t router { 0 };
    std::string team;
    std::string pool { "cook" };
    std::string body;
    std::int64_t tokens { 16 };
    bool is_streamed { true };
    // The request is repeatable only if this key is empty.
    std::string idempotency_key;
    milliseconds time_left { 0 };
};

// Faults of the connections. The numbers of affected messages are in thousandths.
struct faults {
    std::uint32_t duplicated { 0 };
    std::uint32_t delayed { 0 };
    milliseconds delay { 50 };
    std::uint32_t lost { 0 };
};

struct fleet_options {
    std::size_t routers { 2 };
    std::size_t endpoints { 3 };
    router::options router;
    endpoint::options endpoint;
    milliseconds latency { 1 };
    milliseconds token_time { 10 };
    // The maximum number of chunks of an answer.
    std::int64_t max_chunks { 8 };
    std::uint64_t seed { 1 };
    // Whether record() receives a line for each message, answer, run and stop of a process.
    bool is_recording { false };
};

class joined_fleet {
public:
    explicit joined_fleet(fleet_options settings);
    // Scheduled actions hold a pointer to this object.
    joined_fleet(joined_fleet const&) = delete;
    joined_fleet& operator=(joined_fleet const&) = delete;

    // Adds a change to the configuration as if the platform had accepted it.
    void declare(config::change change);
    // Declares the teams, an endpoint for each endpoint process, and a policy that allows all teams to use all
    // endpoints.
    void declare_simple(std::vector<std::pair<std::string, std::uint32_t>> const& teams_and_weights);

    // Sends a caller's request to a router.
    request_number submit(request_plan const& plan);
    // Makes the caller of a request close its connection.
    void leave(std::size_t router, request_number request);

    // Runs all actions that are due within this time and advances the clock.
    void advance(milliseconds time);
    [[nodiscard]] instant now() const { return m_now; }

    // The functions below cause and end failures. Cut connections may be opened again at once.
    void cut(std::size_t router, std::size_t endpoint);
    void cut_routers(std::size_t left, std::size_t right);
    // While blocked, connections between the two processes are cut and cannot be opened.
    void block(std::size_t router, std::size_t endpoint, bool is_blocked);
    void block_routers(std::size_t left, std::size_t right, bool is_blocked);
    // Ends the process and starts a new instance, which has lost all state.
    void restart_router(std::size_t router);
    // Configures another router as a peer of a router, as the flag --peers does.
    void configure_peer(std::size_t router, std::size_t peer);
    void restart_endpoint(std::size_t endpoint);
    // Events of a frozen process are processed when it continues.
    void freeze_endpoint(std::size_t endpoint, bool is_frozen);
    void drain_router(std::size_t router);
    void drain_endpoint(std::size_t endpoint);
    void set_platform_down(bool is_down) { m_is_platform_down = is_down; }
    // Determines whether a single router can reach the platform.
    void cut_from_platform(std::size_t router, bool is_cut);
    // The platform writes the claims of the next batches, but the routers receive failures as answers.
    void lose_claim_answers(int batches) { m_lost_claim_answers = batches; }
    void set_engine_reachable(std::size_t endpoint, bool is_reachable);
    // Makes engines break off answers after this number of chunks; a negative number means never.
    void cut_answers_after(std::int64_t chunks) { m_cut_after = chunks; }
    void set_faults(faults const& settings) { m_faults = settings; }
    // While set, the VM list doesn't show that endpoints leave.
    void set_list_lag(bool is_frozen) { m_is_list_frozen = is_frozen; }

    // Returns a fake key hash with the length of a SHA-256 hash in hexadecimal, so that snapshots with it are valid.
    static std::string key_hash_of(std::string const& team);

    // The functions below return what callers, engines and the platform observed.
    [[nodiscard]] std::map<request_number, caller_view> const& callers(std::size_t router) const;
    [[nodiscard]] caller_view const& caller(std::size_t router, request_number request) const;
    // Maps each body to the number of times that engines ran it.
    [[nodiscard]] std::map<std::string, int> const& runs() const { return m_runs; }
    // Maps each body to the time of its first run.
    [[nodiscard]] std::map<std::string, instant> const& first_runs() const { return m_first_runs; }
    // Maps each team to the service that it has received.
    [[nodiscard]] std::map<std::string, service_units> const& served() const { return m_served; }
    [[nodiscard]] router::router_reducer& router_at(std::size_t index) { return *m_routers.at(index).reducer; }
    [[nodiscard]] endpoint::endpoint_reducer& endpoint_at(std::size_t index) { return *m_endpoints.at(index).reducer; }
    [[nodiscard]] std::size_t router_count() const { return m_routers.size(); }
    [[nodiscard]] std::size_t endpoint_count() const { return m_endpoints.size(); }
    [[nodiscard]] std::map<std::string, std::uint64_t> const& counts() const { return m_counts; }
    [[nodiscard]] std::vector<std::string> const& record() const { return m_record; }
    [[nodiscard]] std::uint64_t control_bytes() const { return m_control_bytes; }
    // Maps each kind of message to the bytes of its frames without request bodies and answer data.
    [[nodiscard]] std::map<std::string, std::uint64_t> const& bytes_by_kind() const { return m_bytes_by_kind; }
    [[nodiscard]] std::uint64_t claim_writes() const { return m_claim_writes; }
    [[nodiscard]] bool is_router_stopped(std::size_t index) const { return m_routers.at(index).is_stopped; }
    [[nodiscard]] bool is_endpoint_stopped(std::size_t index) const { return m_endpoints.at(index).is_stopped; }
    [[nodiscard]] std::map<std::string, std::string> const& claim_rows() const { return m_claims; }
    // Returns the current number of occupied slots of all endpoints.
    [[nodiscard]] std::size_t busy_slots() const;
    [[nodiscard]] std::size_t waiting_requests() const;
    // Calls the function at every interval of virtual time.
    void sample_every(milliseconds interval, std::function<void()> sample);

private:
    struct router_node {
        std::unique_ptr<router::router_reducer> reducer;
        std::uint64_t epoch { 1 };
        std::map<request_number, caller_view> callers;
        bool is_stopped { false };
    };

    struct endpoint_node {
        std::unique_ptr<endpoint::endpoint_reducer> reducer;
        std::uint64_t epoch { 1 };
        bool is_frozen { false };
        bool is_stopped { false };
        bool is_engine_reachable { true };
        // Delivers the events that arrived while the process was frozen.
        std::vector<std::function<void()>> deferred_events;
        std::set<endpoint::call_number> cancelled;
    };

    // A connection has the same id at both ends. `router` is the end that opened it; `other` is an index of a router or
    // an endpoint.
    struct connection {
        std::size_t router { 0 };
        bool is_to_router { false };
        std::size_t other { 0 };
        bool is_open { true };
    };

    struct scheduled {
        instant at {};
        std::uint64_t order { 0 };
        std::function<void()> action;
        bool operator<(scheduled const& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void schedule(milliseconds after, std::function<void()> action);
    void tick_router(std::size_t index, std::uint64_t epoch);
    void tick_endpoint(std::size_t index, std::uint64_t epoch);
    void post_router(std::size_t index, router::event_body body);
    void post_endpoint(std::size_t index, endpoint::event_body body);
    void run_router(std::size_t index, router::effect& effect);
    void run_endpoint(std::size_t index, endpoint::effect& effect);
    void run_call(std::size_t index, endpoint::start_call const& started);
    void deliver_chunk(std::size_t index, std::uint64_t epoch, endpoint::call_number call, wire::run const& request,
        std::int64_t chunk);
    void open_connection(std::size_t router, vm_name const& vm);
    void close_connection(connection_id id);
    void send(connection_id id, bool is_from_router, wire::message const& message);
    void deliver(connection_id id, bool is_from_router, wire::message const& message);
    void answer_claims(std::size_t router, std::uint64_t epoch, router::write_claims const& written);
    [[nodiscard]] std::vector<table_service::vm_record> list_vms() const;
    [[nodiscard]] vm_name router_vm(std::size_t index) const;
    [[nodiscard]] vm_name endpoint_vm(std::size_t index) const;
    void finish(std::size_t router, request_number request, std::function<void(caller_view&)> const& update);
    void record_line(std::string const& line);
    // Draws whether a fault with this frequency affects the current message.
    [[nodiscard]] bool should_inject(std::uint32_t thousandths) { return m_random.next_below(1000) < thousandths; }

    fleet_options m_settings;
    instant m_now { milliseconds(1000) };
    random_generator m_random;
    std::priority_queue<scheduled> m_queue;
    std::uint64_t m_order { 0 };
    std::vector<router_node> m_routers;
    std::vector<endpoint_node> m_endpoints;
    std::map<connection_id, connection> m_connections;
    std::uint64_t m_last_connection { 0 };
    std::uint64_t m_last_request { 0 };
    std::set<std::pair<std::string, std::string>> m_blocked;
    std::vector<config::change> m_changes;
    std::map<std::string, std::string> m_claims;
    bool m_is_list_frozen { false };
    bool m_is_platform_down { false };
    std::set<std::size_t> m_cut_from_platform;
    [[nodiscard]] bool is_platform_down_for(std::size_t router) const
    {
        return m_is_platform_down || m_cut_from_platform.contains(router);
    }
    int m_lost_claim_answers { 0 };
    std::int64_t m_cut_after { -1 };
    faults m_faults;
    std::set<std::size_t> m_draining_endpoints;
    std::map<std::string, int> m_runs;
    std::map<std::string, instant> m_first_runs;
    std::map<std::string, service_units> m_served;
    std::map<std::string, std::uint64_t> m_counts;
    std::vector<std::string> m_record;
    std::uint64_t m_control_bytes { 0 };
    std::map<std::string, std::uint64_t> m_bytes_by_kind;
    std::uint64_t m_claim_writes { 0 };
};

// Returns the complete answer that the fake engines generate for a body.
std::string answer_text(std::string const& body, std::int64_t tokens);

} // namespace shedhill::joined
