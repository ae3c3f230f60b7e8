// SPDX-License-Identifier: BSD-2-Clause
// Routers on stand-ins of the users' platform, as real processes on loopback.
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
    // Over which the routers are spread. Where there are several, they exchange sums as a large fleet does.
    std::size_t domains { 1 };
    // Time of one run, or between two events of a stream.
    int work_ms { 5 };
    // Whether each router has a proxy of its own before the store, and each replica one before it.
    link_kind links { link_kind::direct };
    // Where processes log and replicas write down what they ran; empty for nowhere.
    std::filesystem::path log_folder;
    // Beside those that every router is started with.
    std::vector<std::string> router_arguments;
    double retry_ratio { 0.5 };
    int retry_slack { 500 };
    // Requests a second that a replica bears while it is cold, and for how long that is after a restart; 0 for never.
    int cold_per_second { 0 };
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
    // What replicas wrote down of arrivals and runs, one file each.
    [[nodiscard]] std::filesystem::path runs_file(std::size_t replica) const;

    // Kills the replica and starts it as another incarnation; with proxies it has the address of the one before. The
    // list is not changed.
    result<void> restart_replica(std::size_t index);
    // Starts the router again, with nothing that it knew, on ports of its own choice; peers are its seeds.
    result<void> restart_router(std::size_t index);
    result<void> wait_until_ready(std::size_t router) const;
    // Whether readiness becomes false within a while.
    [[nodiscard]] bool becomes_unready(std::size_t router) const;

    // The declared configuration: /stream/ resumes, /once/ does not, /order/ runs once at most, /look/ may be repeated.
    void declare(std::uint64_t version, std::vector<std::string> const& more_prefixes = {}) const;
    // An operator wants the failure domain's replicas to receive nothing, or takes that back.
    // Replicas stand in the failure domains "north" and "south" by turns.
    [[nodiscard]] static char const* domain_of_replica(std::size_t index) { return index % 2 == 0 ? "north" : "south"; }
    void evacuate(std::string const& domain) const;
    void give_back(std::string const& domain) const;
    void list_replica(std::size_t index, char const* state) const;
    void unlist_replica(std::size_t index) const { unlist(m_incarnations.at(index)); }
    void unlist(std::string const& incarnation) const;
    void control_store(boost::json::object const& wanted) const;
    void control_replica(std::size_t index, char const* mode) const;
    // How often each request ran at all replicas together.
    [[nodiscard]] boost::json::object runs() const;

    [[nodiscard]] result<net::http_response> ask(
        std::size_t router, std::string const& target, std::string const& id, std::string const& key = "key-1") const;
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
    // Until when each replica is cold.
    std::vector<std::chrono::steady_clock::time_point> m_cold_until;
    std::vector<child_process> m_store;
    std::vector<child_process> m_replicas;
    std::vector<child_process> m_routers;
};

} // namespace shedhill::harness
