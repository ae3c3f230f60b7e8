// SPDX-License-Identifier: BSD-2-Clause
// Starts routers with stand-ins for the users' platform as real processes on loopback.
#pragma once

#include "libraries/net/http.h"
#include "tests/harness/child_process.h"
#include "tests/harness/fault_proxy.h"

#include <boost/json.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace shedhill::harness {

enum class link_kind { direct, through_proxies };

struct hosted_fleet_options {
    std::size_t routers { 1 };
    std::size_t replicas { 1 };
    // Number of failure domains of the routers. With several, routers exchange sums between domains as in a large
    // fleet.
    std::size_t domains { 1 };
    // Duration of one run, and interval between two events of a stream.
    int work_ms { 5 };
    // With proxies, each router has its own proxy to the store, and each replica is reached through its own proxy.
    link_kind links { link_kind::direct };
    // Directory for the logs of the processes and the runs files of the replicas; nothing is written if it is empty.
    std::filesystem::path log_folder;
    // Additional arguments of all routers.
    std::vector<std::string> router_arguments;
    // Bound of the fleet's retries in a window: this fraction of the requests, plus this number.
    double retry_ratio { 0.5 };
    int retry_slack { 500 };
    // Requests a second that a replica sustains while it is cold; 0 if replicas are never cold.
    int cold_per_second { 0 };
    // Time between SIGTERM and SIGKILL that the settings of routers name.
    int grace_s { 8 };
    // Memory of a router's VM in MB; 0 if the settings do not name it.
    int memory_mb { 0 };
    // Software versions of the replicas, which take turns. A replica that restarts has the next one.
    std::vector<std::string> versions { "v1" };
    // Time that a replica is cold after a restart.
    std::chrono::milliseconds cold_time { 2000 };
};

class hosted_fleet {
public:
    // Starts the store and the replicas, declares a configuration and starts the routers.
    static result<hosted_fleet> start(hosted_fleet_options const& options);
    hosted_fleet(hosted_fleet&&) = default;
    hosted_fleet& operator=(hosted_fleet&&) = default;
    hosted_fleet(hosted_fleet const&) = delete;
    hosted_fleet& operator=(hosted_fleet const&) = delete;
    ~hosted_fleet();

    [[nodiscard]] child_process& router(std::size_t index) { return m_routers.at(index); }
    [[nodiscard]] child_process& replica(std::size_t index) { return m_replicas.at(index); }
    [[nodiscard]] child_process& store() { return m_store.at(0); }

    [[nodiscard]] hosted_fleet_options const& options() const { return m_options; }
    [[nodiscard]] fault_proxy& store_link(std::size_t router) { return *m_store_links.at(router); }
    [[nodiscard]] fault_proxy& replica_link(std::size_t replica) { return *m_replica_links.at(replica); }
    [[nodiscard]] std::string const& incarnation(std::size_t replica) const { return m_incarnations.at(replica); }
    // Returns the path of the file in which the replica records its events, one a line.
    [[nodiscard]] std::filesystem::path runs_file(std::size_t replica) const;

    // Kills the replica and starts it as a new incarnation; with proxies it keeps its address. The stored endpoint
    // entries are not changed.
    result<void> restart_replica(std::size_t index);
    // Kills the router and starts it on new ports, without any state of its previous instance and with a running router
    // as its seed node.
    result<void> restart_router(std::size_t index);
    result<void> wait_until_ready(std::size_t router) const;
    // Waits until the router is not ready, and returns false if it stays ready for about 20 seconds.
    [[nodiscard]] bool wait_until_unready(std::size_t router) const;

    // Declares a configuration with the routes /stream/ (resumable streams), /stream/once/ (streams that are not
    // resumable), /order/ (requests that may run at most once), /look/ (requests that may be repeated), and a
    // repeatable route for each further prefix.
    void declare_configuration(std::uint64_t version, std::vector<std::string> const& more_prefixes = {}) const;
    // Replicas are in the failure domains "north" and "south" alternately.
    [[nodiscard]] static char const* domain_of_replica(std::size_t index) { return index % 2 == 0 ? "north" : "south"; }
    // evacuate() asks the routers, as an operator does, to send no requests to the failure domain; end_evacuation()
    // ends the evacuation.
    void evacuate(std::string const& domain) const;
    void end_evacuation(std::string const& domain) const;
    // list_replica() writes the endpoint entry of the replica's current incarnation with this state; unlist_replica()
    // and unlist() remove entries.
    void list_replica(std::size_t index, char const* state) const;
    void unlist_replica(std::size_t index) const { unlist(m_incarnations.at(index)); }
    void unlist(std::string const& incarnation) const;
    // Send a command to the /control path of the store or of a replica.
    void control_store(boost::json::object const& command) const;
    void control_replica(std::size_t index, char const* mode) const;
    // Returns the number of runs at all replicas together by request id.
    [[nodiscard]] boost::json::object runs() const;
    // Returns the number of runs at one replica by request id; empty if it does not answer.
    [[nodiscard]] boost::json::object runs_of(std::size_t replica) const;

    [[nodiscard]] result<net::http_response> send_request(
        std::size_t router, std::string const& target, std::string const& id, std::string const& key = "key-1") const;
    // Sends a request whose prompt consists of these parts, each as ID:TOKENS with the id in hexadecimal.
    [[nodiscard]] result<net::http_response> send_prompt(
        std::size_t router, std::string const& target, std::string const& id, std::string const& parts) const;
    // Sends a request with a body of this many bytes.
    [[nodiscard]] result<net::http_response> send_body(
        std::size_t router, std::string const& target, std::string const& id, std::size_t body_size) const;
    // Sends a request of a caller that resumes a stream after this event.
    [[nodiscard]] result<net::http_response> resume_stream(std::size_t router, std::string const& target,
        std::string const& id, std::string const& first_request, int last_event) const;
    // Returns the software version of the replica, which its endpoint entry states.
    [[nodiscard]] std::string const& version_of(std::size_t replica) const
    {
        return m_options.versions.at((replica + m_restarts.at(replica)) % m_options.versions.size());
    }
    // Returns the value of a metric: 0 if it is not exposed, -1 if the router does not answer.
    [[nodiscard]] double metric(std::size_t router, std::string const& name) const;

private:
    hosted_fleet() = default;
    result<child_process> start_process(
        std::string const& name, std::string const& program, std::vector<std::string> const& arguments) const;
    enum class replica_start { warm, cold };
    result<child_process> start_replica(std::size_t index, replica_start start) const;
    result<child_process> start_router(std::size_t index, std::string const& seed) const;
    [[nodiscard]] std::string replica_address(std::size_t index) const;

    hosted_fleet_options m_options;
    std::filesystem::path m_folder;
    std::vector<std::unique_ptr<fault_proxy>> m_store_links;
    std::vector<std::unique_ptr<fault_proxy>> m_replica_links;
    std::vector<std::string> m_incarnations;
    // How often each replica was restarted.
    std::vector<std::size_t> m_restarts;
    // The time until which each replica is cold.
    std::vector<std::chrono::steady_clock::time_point> m_cold_until;
    std::vector<child_process> m_store;
    std::vector<child_process> m_replicas;
    std::vector<child_process> m_routers;
};

} // namespace shedhill::harness
