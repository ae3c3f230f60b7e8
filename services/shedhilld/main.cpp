// SPDX-License-Identifier: BSD-2-Clause
// Starts the daemon: reads its settings, takes the role of a router or an endpoint process, and runs until it is
// stopped.
#include "libraries/logging/log.h"
#include "libraries/logging/process_end.h"
#include "libraries/net/address.h"
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "services/shedhilld/endpoint_daemon.h"
#include "services/shedhilld/platform_main.h"
#include "services/shedhilld/policy_settings.h"
#include "services/shedhilld/router_daemon.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace shedhill;

constexpr std::size_t min_key_size = 16;

settings::setting_table describe_settings()
{
    settings::setting_table table("shedhilld");
    table.add_choice("role", { "none", "router", "endpoint" }, "Role of this process: router or endpoint.");
    table.add_choice("binding", { "own", "platform" },
        "Protocols of this process: the product's own, or those of the users' platform, whose settings file holds the "
        "other settings.");
    table.add_text("settings-file", "",
        "Binding platform: path of the settings file; empty for the file that the platform names.");
    table.add_text("vm", "", "Name of this VM in the platform's list.");
    table.add_text("failure-domain", "default", "Failure domain of this VM.");
    table.add_text("fleet-key", "", "Key that all processes of the fleet share; at least 16 characters.");
    table.add_text("frames", "127.0.0.1:7401", "Address at which other processes of the fleet connect.");
    table.add_text("admin", "127.0.0.1:7402", "Address at which /healthz, /readyz and /metrics are served.");
    table.add_text("http", "127.0.0.1:7400", "Router: address at which callers connect.");
    table.add_text("platform", "127.0.0.1:7300", "Router: address of the platform's table, object store and VM list.");
    table.add_text("peers", "",
        "Router: other routers as VM=ADDRESS:PORT,..., asked for the configuration when the platform is down.");
    table.add_number("subset-size", 12, 1, 1000, "Router: endpoints of one pool to which it keeps connections.");
    table.add_number("offer-spread", 3, 1, 100, "Router: endpoints to which waiting work is offered at first.");
    table.add_number("queue-bound", 4096, 1, 1000000, "Router: maximum number of waiting requests.");
    table.add_number("deadline-ms", 60000, 100, 3600000, "Router: maximum time of a request, in milliseconds.");
    table.add_number("first-chunk-limit-ms", 20000, 100, 3600000,
        "Router: maximum silence before an answer begins, in milliseconds.");
    table.add_number(
        "next-chunk-limit-ms", 5000, 100, 3600000, "Router: maximum silence within an answer, in milliseconds.");
    table.add_number("body-bound", 4 << 20, 1024, 12 << 20, "Router: maximum size of a request body, in bytes.");
    table.add_number("retry-percent", 10, 0, 100, "Router: retries for each hundred first attempts.");
    table.add_number("report-interval-ms", 250, 50, 60000, "Router: interval of service reports, in milliseconds.");
    table.add_number("report-bytes", 1500, 100, 1000000, "Router: bytes per second for service reports.");
    table.add_number("head-interval-ms", 2000, 100, 60000,
        "Router: interval of reads of the configuration's head, in milliseconds.");
    table.add_text("engine", "127.0.0.1:8000", "Endpoint: address of the engine or service beside this process.");
    table.add_number("slots", 6, 1, 1024, "Endpoint: requests that the engine runs at once.");
    table.add_choice("choice", { "corrected-draw", "least-level", "own-counters" },
        "Endpoint: how the next team is chosen; all choices but the first are for measurements.");
    table.add_number("prompt-weight", 250, 0, 1000000, "Endpoint: service of a prompt token, in thousandths.");
    table.add_number(
        "cached-weight", 25, 0, 1000000, "Endpoint: service of a prompt token served from the cache, in thousandths.");
    table.add_number("generated-weight", 1000, 1, 1000000, "Endpoint: service of a generated token, in thousandths.");
    table.add_number("draw-size", 4, 1, 64, "Endpoint: teams drawn for one grant.");
    table.add_number("full-mesh-routers", 12, 1, 1000,
        "Platform: up to this number of routers each router connects to all others; in a larger fleet they exchange "
        "sums between failure domains.");
    table.add_number("metrics-port", 0, 0, 65535,
        "Router, binding platform: port at which metrics are served; 0 for the first port that the platform reserves.");
    table.add_number("unread-answer-ms", 8000, 1000, 600000,
        "Router, binding platform: time for which a caller that acknowledges and does not read its answer keeps its "
        "connection, in milliseconds.");
    table.add_number("buffer-limit-mb", 0, 0, 1000000,
        "Router, binding platform: limit of the bytes that are kept for peers, in MB; 0 for a quarter of the memory "
        "that "
        "the process may use.");
    daemon::describe_policy(table);
    table.add_flag("check-settings", "Validates the settings and exits.");
    table.add_flag("help", "Prints this text and exits.");
    return table;
}

endpoint::choice_policy policy_of(std::string const& name)
{
    if (name == "least-level")
        return endpoint::choice_policy::least_level;
    if (name == "own-counters")
        return endpoint::choice_policy::own_counters;
    return endpoint::choice_policy::corrected_draw;
}

process_epoch make_epoch()
{
    // NOTE: The epoch is the wall clock in microseconds: a restart on the same VM must have a larger epoch.
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return process_epoch(
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(since).count()));
}

result<std::vector<table_service::vm_record>> parse_peers(std::string const& text)
{
    std::vector<table_service::vm_record> peers;
    for (std::size_t start = 0; start < text.size();) {
        auto const end = std::min(text.find(',', start), text.size());
        auto const item = text.substr(start, end - start);
        auto const equals = item.find('=');
        if (equals == std::string::npos)
            return fail("read settings", "shedhilld", "--peers (SHEDHILL_PEERS) must be VM=ADDRESS:PORT,...");
        TRY(net::parse_address(item.substr(equals + 1)));
        table_service::vm_record peer;
        peer.name = vm_name(item.substr(0, equals));
        peer.role = table_service::vm_role::router;
        peer.address = item.substr(equals + 1);
        peers.push_back(std::move(peer));
        start = end + 1;
    }
    return peers;
}

result<void> check_settings(settings::setting_values const& values)
{
    auto const refuse = [](std::string const& reason) { return fail("read settings", "shedhilld", reason); };
    if (values.text("role") == "none")
        return refuse("--role (SHEDHILL_ROLE) must be router or endpoint");
    if (values.text("vm").empty())
        return refuse("--vm (SHEDHILL_VM) is missing");
    if (values.text("fleet-key").size() < min_key_size)
        return refuse("--fleet-key (SHEDHILL_FLEET_KEY) must have at least 16 characters");
    for (auto const* name : { "frames", "admin", "http", "platform", "engine" }) {
        if (auto const parsed = net::parse_address(values.text(name)); !parsed)
            return refuse("--" + std::string(name) + " is '" + values.text(name) + "' but " + parsed.error().reason);
    }
    TRY(parse_peers(values.text("peers")));
    return {};
}

net::process_identity make_identity(settings::setting_values const& values, wire::process_role role)
{
    return { vm_name(values.text("vm")), role, make_epoch(), values.text("fleet-key") };
}

daemon::router_settings make_router_settings(settings::setting_values const& values)
{
    daemon::router_settings settings;
    settings.identity = make_identity(values, wire::process_role::router);
    auto& options = settings.options;
    options.vm = settings.identity.vm;
    options.epoch = settings.identity.epoch;
    options.domain = failure_domain(values.text("failure-domain"));
    options.subset_size = static_cast<std::size_t>(values.number("subset-size"));
    options.offer_spread = static_cast<std::size_t>(values.number("offer-spread"));
    options.queue_bound = static_cast<std::size_t>(values.number("queue-bound"));
    options.default_deadline = milliseconds(values.number("deadline-ms"));
    options.first_chunk_limit = milliseconds(values.number("first-chunk-limit-ms"));
    options.next_chunk_limit = milliseconds(values.number("next-chunk-limit-ms"));
    options.retry_percent = static_cast<std::uint32_t>(values.number("retry-percent"));
    options.report_interval = milliseconds(values.number("report-interval-ms"));
    options.report_bytes_per_second = static_cast<std::size_t>(values.number("report-bytes"));
    options.head_interval = milliseconds(values.number("head-interval-ms"));
    settings.http_address = values.text("http");
    settings.frame_address = values.text("frames");
    settings.admin_address = values.text("admin");
    settings.platform_address = values.text("platform");
    settings.limits.body_bytes = static_cast<std::size_t>(values.number("body-bound"));
    // check_settings() has already validated the peers.
    settings.peers = parse_peers(values.text("peers")).value_or(std::vector<table_service::vm_record> {});
    return settings;
}

daemon::endpoint_settings make_endpoint_settings(settings::setting_values const& values)
{
    daemon::endpoint_settings settings;
    settings.identity = make_identity(values, wire::process_role::endpoint);
    settings.options.vm = settings.identity.vm;
    settings.options.epoch = settings.identity.epoch;
    settings.options.slots = static_cast<std::uint32_t>(values.number("slots"));
    settings.options.policy = policy_of(values.text("choice"));
    settings.options.weights
        = { values.number("prompt-weight"), values.number("cached-weight"), values.number("generated-weight") };
    settings.options.draw_size = static_cast<std::size_t>(values.number("draw-size"));
    settings.frame_address = values.text("frames");
    settings.admin_address = values.text("admin");
    settings.engine_address = values.text("engine");
    return settings;
}

template <typename Daemon>
int run_until_stopped(daemon::process& host, Daemon& role_daemon)
{
    if (auto const opened = role_daemon.open(); !opened) {
        std::cerr << opened.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    host.wait_for_stop();
    logging::log_state("stopped");
    // NOTE: Fibers of open connections are still suspended; the process ends without unwinding them.
    std::cout.flush();
    std::_Exit(EXIT_SUCCESS);
}

} // namespace

int main(int count, char** arguments)
{
    auto const table = describe_settings();
    auto const values = table.parse(count, arguments);
    if (values && values->has_flag("help")) {
        std::cout << table.help();
        return EXIT_SUCCESS;
    }
    if (values && values->text("binding") == "platform")
        return daemon::run_platform_router({ values->text("settings-file"), daemon::read_policy(*values),
            static_cast<std::size_t>(values->number("full-mesh-routers")),
            static_cast<std::uint16_t>(values->number("metrics-port")),
            milliseconds(values->number("unread-answer-ms")),
            static_cast<std::size_t>(values->number("buffer-limit-mb")), values->has_flag("check-settings") });
    auto const checked = values ? check_settings(*values) : result<void>(tl::unexpected<error>(values.error()));
    if (!checked) {
        std::cerr << checked.error().to_string() << '\n';
        return 2;
    }
    if (values->has_flag("check-settings")) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    logging::open_log(values->text("vm"));
    logging::log_process_end(values->text("vm"));
    net::process_io_context();
    daemon::process host;
    if (values->text("role") == "router") {
        daemon::router_daemon router(host, make_router_settings(*values));
        return run_until_stopped(host, router);
    }
    daemon::endpoint_daemon endpoint(host, make_endpoint_settings(*values));
    return run_until_stopped(host, endpoint);
}
