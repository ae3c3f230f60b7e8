// SPDX-License-Identifier: BSD-2-Clause
// Starts the processes of a fleet in order and declares the teams, endpoints and policies.
#include "tests/harness/fleet.h"

#include "libraries/net/http.h"
#include "libraries/net/keys.h"
#include "libraries/operations/config_session.h"

#include <boost/fiber/operations.hpp>
#include <sstream>

namespace shedhill::harness {

namespace {

constexpr std::chrono::milliseconds fetch_timeout { 5000 };
constexpr char const* fleet_key = "a-key-for-tests-only";

std::vector<config::object> team_objects(partner_shape const& partner)
{
    std::vector<config::object> objects;
    for (std::size_t index = 0; index < partner.teams; ++index) {
        config::team team;
        team.partner = partner_name(partner.name);
        team.name = team_name(partner.name + "/team-" + std::to_string(index));
        team.key_hashes = { net::sha256_hex(fleet::key_of(team.name.value())) };
        objects.emplace_back(team);
    }
    return objects;
}

config::object make_policy(partner_shape const& partner, config::policy_action action)
{
    config::policy policy;
    policy.partner = partner_name(partner.name);
    policy.name = partner.name + (action == config::policy_action::use ? "/use-all" : "/share-all");
    policy.action = action;
    return policy;
}

} // namespace

partner_shape recetario_shape()
{
    return { "recetario", { "miraflores", "surquillo", "barranco" }, "cook", 12, "catalogue", 3, 16 };
}

partner_shape batinah_shape()
{
    return { "batinah", { "sohar-hall", "barka-hall", "suwaiq-hall" }, "parts", 9, "counter", 3, 16 };
}

fleet_shape small_shape()
{
    fleet_shape shape;
    shape.partners = { { "recetario", { "miraflores", "surquillo", "barranco" }, "cook", 3, "catalogue", 1, 4 } };
    return shape;
}

result<fleet> fleet::start(fleet_shape const& shape)
{
    fleet started;
    started.m_shape = shape;
    started.m_platform.push_back(TRY(child_process::start(program_path("shedhill-stand-in"), { "--kind=platform" })));
    for (auto const& partner : shape.partners)
        TRY_VOID(started.start_partner(partner));
    for (std::size_t index = 0; index < shape.routers; ++index)
        TRY_VOID(started.add_router());
    for (std::size_t index = 0; index < shape.routers; ++index)
        TRY_VOID(started.wait_until_ready(index));
    return started;
}

result<void> fleet::add_router()
{
    auto const vm = "router-" + std::to_string(m_routers.size());
    m_routers.push_back(TRY(start_router(vm, "127.0.0.1:0", "127.0.0.1:0")));
    auto const& domains = m_shape.partners.front().domains;
    m_vms.push_back(
        { vm, "router", domains[m_routers.size() % domains.size()], "", m_routers.back().address("frames") });
    return publish_vms();
}

result<void> fleet::restart_router(std::size_t index)
{
    auto& router = m_routers.at(index);
    auto const http = router.address("http");
    auto const frames = router.address("frames");
    router.kill();
    router = TRY(start_router("router-" + std::to_string(index), http, frames));
    return {};
}

result<void> fleet::wait_until_ready(std::size_t router) const
{
    constexpr int max_pauses = 400;
    for (int paused = 0; paused < max_pauses; ++paused) {
        auto const answer
            = net::fetch(m_routers.at(router).address("admin"), { "GET", "/readyz", {}, {} }, fetch_timeout);
        if (answer && answer->status == 200)
            return {};
        boost::this_fiber::sleep_for(std::chrono::milliseconds(25));
    }
    return fail("start fleet", "router", "did not become ready in time");
}

result<void> fleet::publish_vms(std::vector<std::string> const& leaving) const
{
    boost::json::array listed;
    for (auto const& vm : m_vms) {
        auto const is_leaving = std::find(leaving.begin(), leaving.end(), vm.name) != leaving.end();
        listed.push_back(boost::json::object { { "name", vm.name }, { "role", vm.role },
            { "state", is_leaving ? "leaving" : "live" }, { "address", vm.address }, { "failure_domain", vm.domain },
            { "endpoint", vm.endpoint } });
    }
    TRY(post_json(platform_address(), "/control", { { "vms", std::move(listed) } }));
    return {};
}

result<void> fleet::apply(std::string const& partner, std::vector<config::object> const& objects) const
{
    table_service::http_platform platform(platform_address());
    auto const report
        = TRY(operations::submit(platform, partner_name(partner), objects, operations::pruning::keep_others));
    if (report.state != operations::submit_state::committed && report.state != operations::submit_state::unchanged)
        return fail("apply", partner, "the declarations were not committed");
    return {};
}

result<std::map<std::string, double>> fleet::metrics(child_process const& process) const
{
    auto const response = TRY(net::fetch(process.address("admin"), { "GET", "/metrics", {}, {} }, fetch_timeout));
    std::map<std::string, double> values;
    std::istringstream lines(response.body);
    std::string line;
    while (std::getline(lines, line)) {
        auto const space = line.rfind(' ');
        values[line.substr(0, space)] = std::stod(line.substr(space + 1));
    }
    return values;
}

result<void> fleet::start_partner(partner_shape const& partner)
{
    auto objects = team_objects(partner);
    objects.push_back(make_policy(partner, config::policy_action::use));
    if (m_shape.is_shared)
        objects.push_back(make_policy(partner, config::policy_action::share));
    auto const declare = [&](std::string const& name, std::string const& pool, std::string const& domain) {
        config::endpoint endpoint;
        endpoint.partner = partner_name(partner.name);
        endpoint.name = endpoint_name(partner.name + "/" + name);
        endpoint.pool = pool_name(pool);
        endpoint.domain = failure_domain(domain);
        objects.emplace_back(endpoint);
    };
    for (std::size_t index = 0; index < partner.engines; ++index) {
        auto const& domain = partner.domains[index % partner.domains.size()];
        m_engines.push_back(TRY(child_process::start(program_path("shedhill-stand-in"),
            { "--kind=engine", "--engine-slots=" + std::to_string(m_shape.slots),
                "--token-interval-ms=" + std::to_string(m_shape.token_interval_ms) })));
        auto const name = "engine-" + std::to_string(index);
        declare(name, partner.model, domain);
        TRY_VOID(start_endpoint(partner, name, partner.model, domain, m_engines.back()));
    }
    for (std::size_t index = 0; index < partner.services; ++index) {
        auto const& domain = partner.domains[index % partner.domains.size()];
        m_services.push_back(TRY(child_process::start(
            program_path("shedhill-stand-in"), { "--kind=service", "--work-ms=" + std::to_string(m_shape.work_ms) })));
        auto const name = "service-" + std::to_string(index);
        declare(name, partner.service, domain);
        TRY_VOID(start_endpoint(partner, name, partner.service, domain, m_services.back()));
    }
    return apply(partner.name, objects);
}

result<void> fleet::start_endpoint(partner_shape const& partner, std::string const& name, std::string const& /*pool*/,
    std::string const& domain, child_process const& backend)
{
    auto const vm = partner.name + "-" + name;
    std::vector<std::string> arguments { "--role=endpoint", "--vm=" + vm, "--failure-domain=" + domain,
        "--fleet-key=" + std::string(fleet_key), "--frames=127.0.0.1:0", "--admin=127.0.0.1:0",
        "--engine=" + backend.address("http"), "--slots=" + std::to_string(m_shape.slots) };
    arguments.insert(arguments.end(), m_shape.endpoint_settings.begin(), m_shape.endpoint_settings.end());
    m_endpoints.push_back(TRY(child_process::start(program_path("shedhilld"), arguments)));
    m_vms.push_back({ vm, "endpoint", domain, partner.name + "/" + name, m_endpoints.back().address("frames") });
    return {};
}

result<child_process> fleet::start_router(std::string const& vm, std::string const& http, std::string const& frames)
{
    std::vector<std::string> arguments { "--role=router", "--vm=" + vm, "--fleet-key=" + std::string(fleet_key),
        "--frames=" + frames, "--admin=127.0.0.1:0", "--http=" + http, "--platform=" + platform_address(),
        "--head-interval-ms=500" };
    std::string peers;
    for (auto const& listed : m_vms) {
        if (listed.role == "router" && listed.name != vm)
            peers += (peers.empty() ? "" : ",") + listed.name + "=" + listed.address;
    }
    if (!peers.empty())
        arguments.push_back("--peers=" + peers);
    arguments.insert(arguments.end(), m_shape.router_settings.begin(), m_shape.router_settings.end());
    return child_process::start(program_path("shedhilld"), arguments);
}

result<boost::json::value> post_json(
    std::string const& address, std::string const& target, boost::json::object const& body)
{
    auto const response = TRY(net::fetch(address, { "POST", target, {}, boost::json::serialize(body) }, fetch_timeout));
    boost::system::error_code failure;
    auto json = boost::json::parse(response.body, failure);
    if (failure)
        return fail("post", address, "the answer is not JSON: " + response.body);
    return json;
}

result<boost::json::value> get_json(std::string const& address, std::string const& target)
{
    auto const response = TRY(net::fetch(address, { "GET", target, {}, {} }, fetch_timeout));
    boost::system::error_code failure;
    auto json = boost::json::parse(response.body, failure);
    if (failure)
        return fail("get", address, "the answer is not JSON: " + response.body);
    return json;
}

} // namespace shedhill::harness
