// SPDX-License-Identifier: BSD-2-Clause
// The soak by hand: many seeds, one line each; what a seed broke is printed, and its logs are kept.
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "tests/soak/soak_run.h"

#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace shedhill::soak {

namespace {

// Whether the seed broke nothing.
bool play_seed(settings::setting_values const& values, std::uint64_t seed)
{
    soak_options options;
    options.plan.seed = seed;
    options.plan.run_for = milliseconds(values.number("seconds") * 1000);
    // A third of the seeds has planned work only, in which no request may be lost.
    bool const is_planned_only = seed % 3 == 0;
    options.plan.scope = is_planned_only ? plan_scope::planned_only : plan_scope::everything;
    options.routers = static_cast<std::size_t>(values.number("routers"));
    options.replicas = static_cast<std::size_t>(values.number("replicas"));
    options.domains = static_cast<std::size_t>(values.number("domains"));
    options.callers = static_cast<std::size_t>(values.number("callers"));
    options.log_folder = std::filesystem::path(values.text("logs")) / ("seed-" + std::to_string(seed));
    std::filesystem::remove_all(options.log_folder);
    auto const verdict = play_soak(options);
    if (!verdict) {
        std::cout << "seed " << seed << ": " << verdict.error().to_string() << std::endl;
        return false;
    }
    std::cout << "seed " << seed << (is_planned_only ? " (planned work only)" : "") << ": " << verdict->requests
              << " requests:";
    for (auto const& [end, count] : verdict->ends)
        std::cout << ' ' << end << ' ' << count << ';';
    std::cout << " broken: " << verdict->broken.size() << std::endl;
    for (auto const& line : verdict->broken)
        std::cout << "    " << line << std::endl;
    if (verdict->broken.empty())
        std::filesystem::remove_all(options.log_folder);
    else
        std::cout << "    logs: " << options.log_folder.string() << std::endl;
    return verdict->broken.empty();
}

} // namespace

} // namespace shedhill::soak

int main(int count, char** arguments)
{
    using namespace shedhill;
    settings::setting_table table("shedhill-soak");
    table.add_number("seed", 1, 0, 1'000'000'000, "The first seed.");
    table.add_number("seeds", 1, 1, 10'000, "How many seeds, one after another.");
    table.add_number("seconds", 8, 1, 600, "How long faults strike in each run.");
    table.add_number("routers", 3, 1, 16, "Routers.");
    table.add_number(
        "domains", 1, 1, 5, "Failure domains of the routers; several exchange sums as a large fleet does.");
    table.add_number("replicas", 4, 1, 24, "Replicas.");
    table.add_number("callers", 16, 1, 200, "Callers, each with one request at a time.");
    table.add_text("logs", std::filesystem::temp_directory_path() / "shedhill-soak", "Where runs log.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    net::process_io_context();
    int failed = 0;
    auto const seeds = values->number("seeds");
    for (std::int64_t index = 0; index < seeds; ++index)
        failed += soak::play_seed(*values, static_cast<std::uint64_t>(values->number("seed") + index)) ? 0 : 1;
    std::cout << seeds - failed << " passed, " << failed << " failed" << std::endl;
    std::_Exit(failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
