// SPDX-License-Identifier: BSD-2-Clause
// Runs soak tests from the command line: one run for each seed, and one line of output for each run. Violated
// guarantees are printed, and the logs of a failed run are kept.
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "tests/soak/soak_run.h"

#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace shedhill::soak {

namespace {

// Runs the soak of one seed and prints its result. Returns whether no guarantee was violated.
bool run_seed(settings::setting_values const& values, std::uint64_t seed)
{
    soak_options options;
    options.plan.seed = seed;
    options.plan.run_for = milliseconds(values.number("seconds") * 1000);
    // Every third seed has planned maintenance only, during which no request may be lost.
    bool const is_planned_only = seed % 3 == 0;
    options.plan.scope = is_planned_only ? plan_scope::planned_only : plan_scope::everything;
    options.routers = static_cast<std::size_t>(values.number("routers"));
    options.replicas = static_cast<std::size_t>(values.number("replicas"));
    options.domains = static_cast<std::size_t>(values.number("domains"));
    options.callers = static_cast<std::size_t>(values.number("callers"));
    options.log_folder = std::filesystem::path(values.text("logs")) / ("seed-" + std::to_string(seed));
    std::filesystem::remove_all(options.log_folder);
    auto const run_result = run_soak(options);
    if (!run_result) {
        std::cout << "seed " << seed << ": " << run_result.error().to_string() << std::endl;
        return false;
    }
    std::cout << "seed " << seed << (is_planned_only ? " (planned maintenance only)" : "") << ": "
              << run_result->requests << " requests:";
    for (auto const& [end, count] : run_result->outcome_counts)
        std::cout << ' ' << end << ' ' << count << ';';
    std::cout << " violations: " << run_result->violations.size() << std::endl;
    for (auto const& line : run_result->violations)
        std::cout << "    " << line << std::endl;
    if (run_result->violations.empty())
        std::filesystem::remove_all(options.log_folder);
    else
        std::cout << "    logs: " << options.log_folder.string() << std::endl;
    return run_result->violations.empty();
}

} // namespace

} // namespace shedhill::soak

int main(int count, char** arguments)
{
    using namespace shedhill;
    settings::setting_table table("shedhill-soak");
    table.add_number("seed", 1, 0, 1'000'000'000, "The first seed.");
    table.add_number("seeds", 1, 1, 10'000, "Number of consecutive seeds to run.");
    table.add_number("seconds", 8, 1, 600, "Duration of fault injection in each run.");
    table.add_number("routers", 3, 1, 16, "Number of routers.");
    table.add_number(
        "domains", 1, 1, 5, "Failure domains of the routers; with several, routers exchange sums between domains.");
    table.add_number("replicas", 4, 1, 24, "Number of replicas.");
    table.add_number("callers", 16, 1, 200, "Number of callers, each with one request at a time.");
    table.add_text(
        "logs", std::filesystem::temp_directory_path() / "shedhill-soak", "Directory for the logs of the runs.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    net::process_io_context();
    int failed = 0;
    auto const seeds = values->number("seeds");
    for (std::int64_t index = 0; index < seeds; ++index)
        failed += soak::run_seed(*values, static_cast<std::uint64_t>(values->number("seed") + index)) ? 0 : 1;
    std::cout << seeds - failed << " passed, " << failed << " failed" << std::endl;
    std::_Exit(failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
