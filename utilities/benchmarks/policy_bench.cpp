// SPDX-License-Identifier: BSD-2-Clause
// Measures the policies by which endpoints choose the next account, on the reducers of routers and endpoints connected
// by a simulated network: the widest service gap between backlogged teams, the utilisation while requests wait, and the
// control traffic, for the default policy and for baselines.
#include "libraries/settings/setting_table.h"
#include "tests/joined/load.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <vector>

namespace {

using namespace shedhill;

struct variant {
    std::string name;
    std::function<void(joined::load_plan&)> change;
};

// The variant "product" is the default configuration; the other variants differ from it in what their names describe.
std::vector<variant> variants()
{
    auto const choose = [](endpoint::choice_policy policy) {
        return [policy](joined::load_plan& plan) { plan.fleet.endpoint.policy = policy; };
    };
    auto const draw
        = [](std::size_t size) { return [size](joined::load_plan& plan) { plan.fleet.endpoint.draw_size = size; }; };
    return { { "perfect counters (bound)", choose(endpoint::choice_policy::perfect_counters) },
        { "product", [](joined::load_plan&) {} },
        { "levels as sent, no draw", choose(endpoint::choice_policy::least_level) },
        { "each endpoint by its own", choose(endpoint::choice_policy::own_counters) },
        { "each router by its own",
            [](joined::load_plan& plan) {
                plan.fleet.endpoint.policy = endpoint::choice_policy::least_level;
                plan.fleet.router.report_interval = milliseconds(100000000);
            } },
        { "product, draw of 2", draw(2) }, { "product, draw of 8", draw(8) }, { "product, draw of 64", draw(64) },
        { "product, reports each 1 s",
            [](joined::load_plan& plan) { plan.fleet.router.report_interval = milliseconds(1000); } },
        { "product, reports each 5 s",
            [](joined::load_plan& plan) { plan.fleet.router.report_interval = milliseconds(5000); } } };
}

struct distribution {
    double min { 0 };
    double median { 0 };
    double max { 0 };
};

distribution distribution_of(std::vector<double> values)
{
    std::ranges::sort(values);
    return { values.front(), values[values.size() / 2], values.back() };
}

void print(std::string const& label, distribution const& measure)
{
    std::cout << "  " << label << ' ' << measure.min << " / " << measure.median << " / " << measure.max;
}

} // namespace

int main(int count, char** arguments)
{
    settings::setting_table table("shedhill-policy-bench");
    table.add_number("routers", 24, 1, 400, "The number of routers.");
    table.add_number("endpoints", 24, 1, 2000, "The number of endpoints.");
    table.add_number("teams", 48, 2, 2000, "The number of backlogged teams.");
    table.add_number("seconds", 60, 10, 3600, "The virtual duration of a run in seconds.");
    table.add_number("seeds", 3, 1, 20, "The number of runs of each variant, with the seeds 1, 2, ...");
    table.add_text("only", "", "Runs only the variants whose names contain this text.");
    table.add_flag("kinds", "Prints the bytes of each kind of message in the last run of each variant.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    std::cout << std::fixed << std::setprecision(2)
              << "gaps in seconds of a fair share, each as min / median / max over the seeds\n";
    for (auto const& [name, change] : variants()) {
        if (name.find(values->text("only")) == std::string::npos)
            continue;
        std::vector<double> worst;
        std::vector<double> percentile_99;
        std::vector<double> utilisation;
        std::vector<double> bytes;
        std::map<std::string, std::uint64_t> kinds;
        for (std::int64_t seed = 1; seed <= values->number("seeds"); ++seed) {
            auto plan = joined::uneven_load(static_cast<std::size_t>(values->number("routers")),
                static_cast<std::size_t>(values->number("endpoints")),
                static_cast<std::size_t>(values->number("teams")), static_cast<std::uint64_t>(seed));
            plan.run_for = milliseconds(values->number("seconds") * 1000);
            change(plan);
            auto const result = joined::run_load(plan);
            worst.push_back(result.max_gap / result.share_per_second);
            percentile_99.push_back(result.gap_percentile_99 / result.share_per_second);
            utilisation.push_back(result.utilisation);
            bytes.push_back(result.control_bytes_per_router_second);
            kinds = result.bytes_by_kind;
        }
        std::cout << std::left << std::setw(28) << name;
        print("worst", distribution_of(worst));
        print("p99", distribution_of(percentile_99));
        std::cout << std::setprecision(4);
        print("used", distribution_of(utilisation));
        std::cout << std::setprecision(0);
        print("bytes/s/router", distribution_of(bytes));
        std::cout << std::setprecision(2) << std::endl;
        if (values->has_flag("kinds")) {
            for (auto const& [kind, total] : kinds)
                std::cout << "    " << kind << ' ' << total << " bytes\n";
        }
    }
}
