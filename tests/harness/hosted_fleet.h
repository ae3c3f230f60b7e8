// SPDX-License-Identifier: BSD-2-Clause
// Routers on stand-ins of the users' platform, as real processes on loopback.
#pragma once

#include "libraries/net/http.h"
#include "tests/harness/child_process.h"

#include <boost/json.hpp>
#include <filesystem>
#include <string>
#include <vector>

namespace shedhill::harness {

class hosted_fleet {
public:
    // Starts the store and the replicas, declares a configuration and starts the routers.
    static result<hosted_fleet> start(std::size_t routers, std::size_t replicas, int work_ms = 5);
    hosted_fleet(hosted_fleet&&) = default;
    hosted_fleet& operator=(hosted_fleet&&) = default;
    hosted_fleet(hosted_fleet const&) = delete;
    hosted_fleet& operator=(hosted_fleet const&) = delete;
    ~hosted_fleet();

    [[nodiscard]] child_process& router(std::size_t index) { return m_routers.at(index); }
    [[nodiscard]] child_process& replica(std::size_t index) { return m_replicas.at(index); }
    [[nodiscard]] child_process& store() { return m_store.at(0); }

    // Starts the router again, with nothing that it knew, on ports of its own choice; peers are its seeds.
    result<void> restart_router(std::size_t index);
    result<void> wait_until_ready(std::size_t router) const;
    // Whether readiness becomes false within a while.
    [[nodiscard]] bool becomes_unready(std::size_t router) const;

    // The declared configuration: /stream/ resumes, /once/ does not, /order/ runs once at most, /look/ may be repeated.
    void declare(std::uint64_t version, std::vector<std::string> const& more_prefixes = {}) const;
    void list_replica(std::size_t index, char const* state) const;
    void control_store(boost::json::object const& wanted) const;
    void control_replica(std::size_t index, char const* mode) const;
    // How often each request ran at all replicas together.
    [[nodiscard]] boost::json::object runs() const;

    [[nodiscard]] result<net::http_response> ask(
        std::size_t router, std::string const& target, std::string const& id, std::string const& key = "key-1") const;
    [[nodiscard]] double metric(std::size_t router, std::string const& name) const;

private:
    hosted_fleet() = default;
    result<child_process> start_router(std::size_t index, std::string const& seed) const;

    std::filesystem::path m_folder;
    std::vector<child_process> m_store;
    std::vector<child_process> m_replicas;
    std::vector<child_process> m_routers;
};

} // namespace shedhill::harness
