// SPDX-License-Identifier: BSD-2-Clause
// Starts a complete fleet of real processes on loopback: stand-ins, endpoint processes and routers.
#pragma once

#include "libraries/config/objects.h"
#include "tests/harness/child_process.h"

#include <boost/json.hpp>
#include <map>
#include <string>
#include <vector>

namespace shedhill::harness {

// What one partner declares: its failure domains, a model with its engines, a service and its teams.
struct partner_shape {
    std::string name;
    std::vector<std::string> domains;
    std::string model;
    std::size_t engines { 0 };
    std::string service;
    std::size_t services { 0 };
    std::size_t teams { 0 };
};

// The processes of a fleet and their settings.
struct fleet_shape {
    std::vector<partner_shape> partners;
    std::size_t routers { 1 };
    // Slots of each engine.
    std::size_t slots { 6 };
    int token_interval_ms { 5 };
    // Duration of one run of a plain service.
    int work_ms { 5 };
    // Tells whether partners share their endpoints with each other.
    bool is_shared { false };
    std::vector<std::string> router_settings;
    std::vector<std::string> endpoint_settings;
};

// The deployments of the two partners at full size.
partner_shape recetario_shape();
partner_shape batinah_shape();
// One partner with three engines, one instance of a service, and four teams.
fleet_shape small_shape();

class fleet {
public:
    // Starts all processes and waits until all routers are ready.
    static result<fleet> start(fleet_shape const& shape);

    // Returns the API key of a team.
    [[nodiscard]] static std::string key_of(std::string const& team) { return "key-" + team; }

    [[nodiscard]] std::string http(std::size_t router) const { return m_routers.at(router).address("http"); }
    [[nodiscard]] std::string platform_address() const { return m_platform.at(0).address("http"); }
    [[nodiscard]] std::vector<child_process>& routers() { return m_routers; }
    [[nodiscard]] std::vector<child_process>& endpoints() { return m_endpoints; }
    [[nodiscard]] std::vector<child_process>& engines() { return m_engines; }
    [[nodiscard]] std::vector<child_process>& services() { return m_services; }
    [[nodiscard]] child_process& platform() { return m_platform.at(0); }

    result<void> add_router();
    // Kills a router and starts it again on the same addresses, without any state of its previous instance.
    result<void> restart_router(std::size_t index);
    result<void> wait_until_ready(std::size_t router) const;
    // Publishes the list of VMs, with the given VMs marked as leaving.
    result<void> publish_vms(std::vector<std::string> const& leaving = {}) const;
    // Declares the objects of a partner.
    [[nodiscard]] result<void> apply(std::string const& partner, std::vector<config::object> const& objects) const;
    // Returns the values of the process's metrics by name with labels.
    [[nodiscard]] result<std::map<std::string, double>> metrics(child_process const& process) const;

private:
    struct listed_vm {
        std::string name;
        std::string role;
        std::string domain;
        std::string endpoint;
        std::string address;
    };

    result<void> start_partner(partner_shape const& partner);
    result<void> start_endpoint(partner_shape const& partner, std::string const& name, std::string const& pool,
        std::string const& domain, child_process const& backend);
    result<child_process> start_router(std::string const& vm, std::string const& http, std::string const& frames);

    fleet_shape m_shape;
    // Holds one element, since a child process has no empty state.
    std::vector<child_process> m_platform;
    std::vector<child_process> m_engines;
    std::vector<child_process> m_services;
    std::vector<child_process> m_endpoints;
    std::vector<child_process> m_routers;
    std::vector<listed_vm> m_vms;
};

result<boost::json::value> post_json(
    std::string const& address, std::string const& target, boost::json::object const& body);
result<boost::json::value> get_json(std::string const& address, std::string const& target);

} // namespace shedhill::harness
