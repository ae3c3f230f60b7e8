// SPDX-License-Identifier: BSD-2-Clause
// Starts the stand-ins and routers, and sends commands and requests to them.
#include "tests/harness/hosted_fleet.h"

#include "tests/harness/fleet.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace shedhill::harness {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds fetch_timeout { 8000 };
constexpr std::chrono::milliseconds pause { 10 };
// Bounds the wait of a test that fails to 20 seconds; otherwise waiting ends with the condition.
constexpr int max_pauses = 2000;
constexpr double cold_overage = 1.5;
constexpr double cold_start_slack = 5;

json::object make_route(std::string const& prefix, char const* kind, bool is_resumable)
{
    return { { "name", prefix }, { "hostname", "shop.example" }, { "path_prefix", prefix }, { "route_type", kind },
        { "timeout_ms", 6000 }, { "target_latency_ms", 1500 }, { "gap_target_ms", 1000 }, { "max_attempts", 2 },
        { "service", "plain" }, { "stream_resume", is_resumable } };
}

} // namespace

result<hosted_fleet> hosted_fleet::start(hosted_fleet_options const& options)
{
    hosted_fleet started;
    started.m_options = options;
    static int folder_count = 0;
    started.m_folder = std::filesystem::temp_directory_path()
        / ("shedhill-hosted-" + std::to_string(getpid()) + "-" + std::to_string(++folder_count));
    std::filesystem::create_directories(started.m_folder);
    started.m_store.push_back(
        TRY(started.start_process("store", program_path("shedhill-stand-in"), { "--kind=hosted-store" })));
    for (std::size_t index = 0; index < options.replicas; ++index) {
        started.m_incarnations.push_back("i-" + std::to_string(index));
        started.m_cold_until.emplace_back();
        started.m_restarts.push_back(0);
        started.m_replicas.push_back(TRY(started.start_replica(index, replica_start::warm)));
        if (options.links == link_kind::through_proxies)
            started.m_replica_links.push_back(TRY(fault_proxy::open(started.m_replicas.back().address("http"))));
        started.list_replica(index, "ready");
    }
    started.declare_configuration(1);
    for (std::size_t index = 0; index < options.routers; ++index) {
        if (options.links == link_kind::through_proxies)
            started.m_store_links.push_back(TRY(fault_proxy::open(started.m_store.at(0).address("http"))));
        started.m_routers.push_back(TRY(started.start_router(index, {})));
    }
    for (std::size_t index = 0; index < options.routers; ++index)
        TRY_VOID(started.wait_until_ready(index));
    return started;
}

result<child_process> hosted_fleet::start_process(
    std::string const& name, std::string const& program, std::vector<std::string> const& arguments) const
{
    if (m_options.log_folder.empty())
        return child_process::start(program, arguments);
    return child_process::start_logged(program, arguments, (m_options.log_folder / (name + ".log")).string());
}

result<child_process> hosted_fleet::start_replica(std::size_t index, replica_start start) const
{
    std::vector<std::string> arguments { "--kind=hosted-replica", "--incarnation=" + m_incarnations.at(index),
        "--work-ms=" + std::to_string(m_options.work_ms) };
    if (m_options.versions.size() > 1)
        arguments.push_back("--software=" + version_of(index));
    if (!m_options.log_folder.empty())
        arguments.push_back("--runs-file=" + runs_file(index).string());
    if (start == replica_start::cold && m_options.cold_per_second > 0) {
        auto const limit = cold_overage * m_options.cold_per_second + cold_start_slack;
        arguments.push_back("--cold-ms=" + std::to_string(m_options.cold_time.count()));
        arguments.push_back("--cold-limit=" + std::to_string(static_cast<int>(limit)));
    }
    return start_process("replica-" + std::to_string(index), program_path("shedhill-stand-in"), arguments);
}

std::filesystem::path hosted_fleet::runs_file(std::size_t replica) const
{
    return m_options.log_folder / ("runs-" + std::to_string(replica) + ".txt");
}

std::string hosted_fleet::replica_address(std::size_t index) const
{
    if (m_options.links == link_kind::through_proxies)
        return m_replica_links.at(index)->address();
    return m_replicas.at(index).address("http");
}

result<void> hosted_fleet::restart_replica(std::size_t index)
{
    m_replicas.at(index).kill();
    m_incarnations.at(index) += "x";
    ++m_restarts.at(index);
    m_replicas.at(index) = TRY(start_replica(index, replica_start::cold));
    if (m_options.cold_per_second > 0)
        m_cold_until.at(index) = std::chrono::steady_clock::now() + m_options.cold_time;
    if (m_options.links == link_kind::through_proxies)
        m_replica_links.at(index)->set_target(m_replicas.at(index).address("http"));
    return {};
}

hosted_fleet::~hosted_fleet()
{
    if (!m_folder.empty())
        std::filesystem::remove_all(m_folder);
}

result<child_process> hosted_fleet::start_router(std::size_t index, std::string const& seed) const
{
    auto const store = m_options.links == link_kind::through_proxies ? m_store_links.at(index)->address()
                                                                     : m_store.at(0).address("http");
    auto const zone = "zone-" + std::to_string(index % m_options.domains);
    json::object settings { { "node_name", "edge-" + std::to_string(index) }, { "zone", zone }, { "ip", "127.0.0.1" },
        { "port_range", json::array { 0, 0 } },
        { "listen",
            json::object {
                { "frontend", "127.0.0.1:0" }, { "ready", "127.0.0.1:0" }, { "control_plane", "127.0.0.1:0" } } },
        { "platform", json::object { { "address", store } } },
        { "bounds",
            json::object { { "grace_s", m_options.grace_s }, { "retry_budget_ratio", m_options.retry_ratio },
                { "retry_slack", m_options.retry_slack }, { "cold_overage", cold_overage },
                { "cold_start_slack", cold_start_slack } } } };
    if (m_options.memory_mb > 0)
        settings["limits"] = json::object { { "memory_mb", m_options.memory_mb } };
    if (!seed.empty())
        settings["seed_nodes"] = json::array { json::value(seed) };
    auto const path = m_folder / ("router-" + std::to_string(index) + ".json");
    std::ofstream(path) << json::serialize(settings);
    std::vector<std::string> arguments { "--role=router", "--binding=platform", "--settings-file=" + path.string(),
        "--full-mesh-routers=" + std::to_string(m_options.domains > 1 ? 1 : m_options.routers) };
    std::ranges::copy(m_options.router_arguments, std::back_inserter(arguments));
    return start_process("router-" + std::to_string(index), program_path("shedhilld"), arguments);
}

result<void> hosted_fleet::restart_router(std::size_t index)
{
    std::string seed;
    for (std::size_t other = 0; other < m_routers.size(); ++other) {
        if (other != index && m_routers[other].is_running())
            seed = m_routers[other].address("peers");
    }
    m_routers.at(index).kill();
    m_routers.at(index) = TRY(start_router(index, seed));
    return {};
}

result<void> hosted_fleet::wait_until_ready(std::size_t router) const
{
    for (int paused = 0; paused < max_pauses; ++paused) {
        auto const answer
            = net::fetch(m_routers.at(router).address("ready"), { "GET", "/readyz", {}, {} }, fetch_timeout);
        if (answer && answer->status == 200)
            return {};
        boost::this_fiber::sleep_for(pause);
    }
    return fail("wait for router", std::to_string(router), "did not become ready in time");
}

bool hosted_fleet::wait_until_unready(std::size_t router) const
{
    for (int paused = 0; paused < max_pauses; ++paused) {
        auto const answer
            = net::fetch(m_routers.at(router).address("ready"), { "GET", "/readyz", {}, {} }, fetch_timeout);
        if (!answer || answer->status != 200)
            return true;
        boost::this_fiber::sleep_for(pause);
    }
    return false;
}

void hosted_fleet::control_store(json::object const& command) const
{
    (void)post_json(m_store.at(0).address("http"), "/control", command);
}

void hosted_fleet::declare_configuration(std::uint64_t version, std::vector<std::string> const& more_prefixes) const
{
    json::array routes { make_route("/stream/", "stream", true), make_route("/stream/once/", "stream", false),
        make_route("/order/", "unsafe", false), make_route("/look/", "safe", false) };
    for (auto const& prefix : more_prefixes)
        routes.push_back(make_route(prefix, "safe", false));
    json::object const configuration { { "version", version }, { "routes", routes },
        { "services",
            json::array { json::object { { "name", "plain" }, { "max_connections", 100 },
                { "cold_per_s", m_options.cold_per_second },
                { "cold_start_s", std::chrono::duration<double>(m_options.cold_time).count() } } } },
        { "limits", json::object { { "idle_timeout_ms", 15000 } } },
        { "tenants",
            json::array { json::object { { "name", "kitchen" }, { "api_keys", json::array { "key-1" } } } } } };
    control_store({ { "put",
        json::array {
            json::object { { "table", "op" }, { "key", "config" }, { "value", json::serialize(configuration) } } } } });
}

void hosted_fleet::evacuate(std::string const& domain) const
{
    control_store({ { "put",
        json::array { json::object { { "table", "op" }, { "key", "evacuate/" + domain }, { "value", "{}" } } } } });
}

void hosted_fleet::end_evacuation(std::string const& domain) const
{
    control_store(
        { { "remove", json::array { json::object { { "table", "op" }, { "key", "evacuate/" + domain } } } } });
}

void hosted_fleet::list_replica(std::size_t index, char const* state) const
{
    auto const time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        m_cold_until.at(index) - std::chrono::steady_clock::now());
    json::object const entry { { "service", "plain" }, { "address", replica_address(index) },
        { "zone", domain_of_replica(index) }, { "version", version_of(index) }, { "capacity", 40 }, { "state", state },
        { "cold_remaining_ms", std::max<std::int64_t>(time_left.count(), 0) }, { "sequence", 1 } };
    control_store({ { "put",
        json::array { json::object {
            { "table", "servers" }, { "key", m_incarnations.at(index) }, { "value", json::serialize(entry) } } } } });
}

void hosted_fleet::unlist(std::string const& incarnation) const
{
    control_store({ { "remove", json::array { json::object { { "table", "servers" }, { "key", incarnation } } } } });
}

void hosted_fleet::control_replica(std::size_t index, char const* mode) const
{
    (void)post_json(m_replicas.at(index).address("http"), "/control", { { "mode", mode } });
}

json::object hosted_fleet::runs() const
{
    json::object all;
    for (std::size_t index = 0; index < m_replicas.size(); ++index) {
        for (auto const& [id, count] : runs_of(index)) {
            auto& sum = all[id];
            sum = (sum.is_null() ? 0 : sum.as_int64()) + count.as_int64();
        }
    }
    return all;
}

json::object hosted_fleet::runs_of(std::size_t replica) const
{
    auto const counts = get_json(m_replicas.at(replica).address("http"), "/counts");
    return counts ? counts->as_object() : json::object();
}

result<net::http_response> hosted_fleet::send_request(
    std::size_t router, std::string const& target, std::string const& id, std::string const& key) const
{
    net::http_request request { target.starts_with("/look/") ? "GET" : "POST", target, {}, {} };
    request.headers = { { "Host", "shop.example" }, { "Shedhill-Request-Id", id }, { "Shedhill-Deadline-Ms", "6000" },
        { "Authorization", "Bearer " + key } };
    if (request.method == "POST")
        request.body = "a body";
    return net::fetch(m_routers.at(router).address("callers"), request, fetch_timeout);
}

result<net::http_response> hosted_fleet::send_prompt(
    std::size_t router, std::string const& target, std::string const& id, std::string const& parts) const
{
    net::http_request request { "POST", target, {}, "a body of " + id };
    request.headers = { { "Host", "shop.example" }, { "Shedhill-Request-Id", id }, { "Shedhill-Deadline-Ms", "6000" },
        { "Authorization", "Bearer key-1" }, { "Shedhill-Prefix-Hash", parts } };
    return net::fetch(m_routers.at(router).address("callers"), request, fetch_timeout);
}

result<net::http_response> hosted_fleet::send_body(
    std::size_t router, std::string const& target, std::string const& id, std::size_t body_size) const
{
    net::http_request request { "POST", target, {}, std::string(body_size, 'x') };
    request.headers = { { "Host", "shop.example" }, { "Shedhill-Request-Id", id }, { "Shedhill-Deadline-Ms", "6000" },
        { "Authorization", "Bearer key-1" } };
    return net::fetch(m_routers.at(router).address("callers"), request, fetch_timeout);
}

result<net::http_response> hosted_fleet::resume_stream(std::size_t router, std::string const& target,
    std::string const& id, std::string const& first_request, int last_event) const
{
    net::http_request request { "POST", target, {}, "a body" };
    request.headers = { { "Host", "shop.example" }, { "Shedhill-Request-Id", id }, { "Shedhill-Deadline-Ms", "6000" },
        { "Authorization", "Bearer key-1" }, { "Last-Event-Id", std::to_string(last_event) },
        { "Resumes", first_request } };
    return net::fetch(m_routers.at(router).address("callers"), request, fetch_timeout);
}

double hosted_fleet::metric(std::size_t router, std::string const& name) const
{
    auto const answer
        = net::fetch(m_routers.at(router).address("metrics"), { "GET", "/metrics", {}, {} }, fetch_timeout);
    if (!answer)
        return -1;
    std::istringstream lines(answer->body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.starts_with(name + " "))
            return std::stod(line.substr(name.size() + 1));
    }
    return 0;
}

} // namespace shedhill::harness
