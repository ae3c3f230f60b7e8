// SPDX-License-Identifier: BSD-2-Clause
// Measures the choice of teams on the product's reducers joined by a queue: the widest gap in service between
// backlogged teams, utilisation while work waits, and control traffic, for the product and its baselines.
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

struct spread {
    double least { 0 };
    double median { 0 };
    double most { 0 };
};

spread spread_of(std::vector<double> values)
{
    std::ranges::sort(values);
    return { values.front(), values[values.size() / 2], values.back() };
}

void print(std::string const& label, spread const& of)
{
    std::cout << "  " << label << ' ' << of.least << " / " << of.median << " / " << of.most;
}

} // namespace

int main(int count, char** arguments)
{
    settings::setting_table table("shedhill-policy-bench");
    table.add_number("routers", 24, 1, 400, "Routers.");
    table.add_number("endpoints", 24, 1, 2000, "Endpoints.");
    table.add_number("teams", 48, 2, 2000, "Backlogged teams.");
    table.add_number("seconds", 60, 10, 3600, "Virtual time of a run.");
    table.add_number("seeds", 3, 1, 20, "Runs of each variant, with seeds 1, 2, ...");
    table.add_text("only", "", "Only the variants whose name contains this.");
    table.add_flag("kinds", "Prints the last run's bytes for each kind of message.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    std::cout << std::fixed << std::setprecision(2)
              << "gaps in seconds of a fair share, each as least / median / most of the seeds\n";
    for (auto const& [name, change] : variants()) {
        if (name.find(values->text("only")) == std::string::npos)
            continue;
        std::vector<double> worst;
        std::vector<double> usual;
        std::vector<double> used;
        std::vector<double> bytes;
        std::map<std::string, std::uint64_t> kinds;
        for (std::int64_t seed = 1; seed <= values->number("seeds"); ++seed) {
            auto plan = joined::uneven_load(static_cast<std::size_t>(values->number("routers")),
                static_cast<std::size_t>(values->number("endpoints")),
                static_cast<std::size_t>(values->number("teams")), static_cast<std::uint64_t>(seed));
            plan.run_for = milliseconds(values->number("seconds") * 1000);
            change(plan);
            auto const result = joined::run_load(plan);
            worst.push_back(result.worst_gap / result.seconds_of_share);
            usual.push_back(result.usual_gap / result.seconds_of_share);
            used.push_back(result.utilisation);
            bytes.push_back(result.control_bytes_per_router_second);
            kinds = result.bytes_by_kind;
        }
        std::cout << std::left << std::setw(28) << name;
        print("worst", spread_of(worst));
        print("p99", spread_of(usual));
        std::cout << std::setprecision(4);
        print("used", spread_of(used));
        std::cout << std::setprecision(0);
        print("bytes/s/router", spread_of(bytes));
        std::cout << std::setprecision(2) << std::endl;
        if (values->has_flag("kinds")) {
            for (auto const& [kind, total] : kinds)
                std::cout << "    " << kind << ' ' << total << " bytes\n";
        }
    }
}
