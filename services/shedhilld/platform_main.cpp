// SPDX-License-Identifier: BSD-2-Clause
// Reads the settings, installs the signal handlers and runs the router with the platform's bindings.
#include "services/shedhilld/platform_main.h"

#include "libraries/logging/process_end.h"
#include "platform/caller_binding.h"
#include "platform/settings_file.h"
#include "platform/table_binding.h"
#include "services/shedhilld/memory_watch.h"
#include "services/shedhilld/platform_router.h"

#include <cstdlib>
#include <iostream>

namespace shedhill::daemon {

namespace {

signal_flags g_signals; // NOLINT: a signal handler can access only globals

void handle_signal(int signal)
{
    if (signal == SIGHUP)
        g_signals.reload = 1;
    else
        g_signals.stop = 1;
}

void install_signals()
{
    struct sigaction action { };
    action.sa_handler = handle_signal; // NOLINT: POSIX declares the handler as a union member
    for (auto const signal : { SIGTERM, SIGINT, SIGHUP })
        sigaction(signal, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

// Sets the metrics port if one is given: monitoring expects one port for the whole fleet, while the ports that the
// platform reserves change from day to day.
void set_metrics_port(relay::deployment_settings& settings, std::uint16_t port)
{
    auto const colon = settings.metrics_address.rfind(':');
    if (port != 0 && colon != std::string::npos)
        settings.metrics_address.replace(colon + 1, std::string::npos, std::to_string(port));
}

// Returns the limit of the bytes that are kept for peers. The rest of the memory is for the process itself, which takes
// 20 MB in a fleet of hundreds of routers, and for the kernel's buffers of the same connections.
std::size_t buffer_limit_of(platform_router_options const& options, relay::deployment_settings const& settings)
{
    constexpr std::size_t bytes_per_megabyte = 1'000'000;
    constexpr std::size_t memory_divisor = 4;
    if (options.buffer_limit_mb > 0)
        return options.buffer_limit_mb * bytes_per_megabyte;
    auto const memory = settings.memory_bytes > 0 ? settings.memory_bytes : memory_watch::available_bytes();
    return memory / memory_divisor;
}

} // namespace

int run_platform_router(platform_router_options const& options)
{
    install_signals();
    auto const path = options.settings_file.empty() ? platform_binding::settings_path() : options.settings_file;
    auto settings = platform_binding::read_settings_file(path);
    if (!settings) {
        std::cerr << settings.error().to_string() << '\n';
        return 2;
    }
    settings->max_full_mesh_routers = options.max_full_mesh_routers;
    set_metrics_port(*settings, options.metrics_port);
    settings->max_unread_answer_time = options.max_unread_answer_time;
    settings->buffer_limit_bytes = buffer_limit_of(options, *settings);
    if (options.is_check_only) {
        std::cout << "settings are valid\n";
        return EXIT_SUCCESS;
    }
    logging::log_process_end(settings->vm.value());
    platform_router<platform_binding::caller_binding, platform_binding::table_binding> router(
        *settings, options.policy, [path] { return platform_binding::read_settings_file(path); });
    if (auto const opened = router.open(); !opened) {
        std::cerr << opened.error().to_string() << '\n';
        return EXIT_FAILURE;
    }
    router.run(g_signals);
    return EXIT_SUCCESS;
}

} // namespace shedhill::daemon
