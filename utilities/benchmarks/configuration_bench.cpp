// SPDX-License-Identifier: BSD-2-Clause
// Measures what a router spends on one version of the configuration: the steps of reading it, and the step that puts it
// in force after the version before, which had a given number of routes. The times are processor times of this process.
#include "libraries/dispatch/dispatch_reducer.h"
#include "platform/configuration_parser.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <string>

namespace {

using namespace shedhill;

constexpr std::size_t hosts = 40;
constexpr std::size_t teams = 30;
// The medians of this many runs are printed.
constexpr std::size_t runs = 9;

double processor_ms()
{
    constexpr double ms_per_second = 1000;
    constexpr double ns_per_ms = 1e6;
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * ms_per_second + static_cast<double>(time.tv_nsec) / ns_per_ms;
}

std::string make_document(std::uint64_t revision, std::size_t routes)
{
    std::string text = R"({"version":)" + std::to_string(revision) + R"(,"routes":[)";
    for (std::size_t index = 0; index < routes; ++index) {
        text += (index == 0 ? "" : ",") + std::string(R"({"hostname":"host)") + std::to_string(index % hosts)
            + R"(.example","path_prefix":"/path)" + std::to_string(index)
            + R"(/","route_type":"stream","stream_resume":true,"service":"model","timeout_ms":5000,)"
            + R"("target_latency_ms":800,"gap_target_ms":400,"max_attempts":2,"priority":1,"session_affinity":true})";
    }
    text += R"(],"services":[{"name":"model","max_connections":460,"engine":{"capacity":64,"kv_tokens":223021}}],)"
            R"("tenants":[)";
    for (std::size_t index = 0; index < teams; ++index)
        text += (index == 0 ? "" : ",") + std::string(R"({"name":"team)") + std::to_string(index)
            + R"(","api_keys":["key)" + std::to_string(index) + R"("]})";
    return text + "]}";
}

struct measured_version {
    std::size_t bytes { 0 };
    std::size_t steps { 0 };
    double reading_ms { 0 };
    double longest_step_ms { 0 };
    double in_force_ms { 0 };
};

dispatch::configuration read(std::string document, measured_version& measured)
{
    platform_binding::configuration_parser parser { std::move(document) };
    auto const started = processor_ms();
    bool is_last = false;
    while (!is_last) {
        auto const step_started = processor_ms();
        is_last = parser.advance();
        measured.longest_step_ms = std::max(measured.longest_step_ms, processor_ms() - step_started);
    }
    measured.reading_ms = processor_ms() - started;
    measured.steps = parser.steps();
    measured.bytes = parser.document_size();
    return std::move(*parser.take());
}

measured_version measure(std::size_t before, std::size_t after)
{
    dispatch::dispatch_reducer router({ .vm = vm_name("router") });
    measured_version ignored;
    instant const now(milliseconds(1000));
    router.reduce({ now, 0, dispatch::configuration_received { read(make_document(1, before), ignored) } });
    measured_version measured;
    dispatch::configuration_received received { read(make_document(2, after), measured) };
    auto const started = processor_ms();
    router.reduce({ now, 0, std::move(received) });
    measured.in_force_ms = processor_ms() - started;
    return measured;
}

measured_version median_of_runs(std::size_t before, std::size_t after)
{
    std::array<measured_version, runs> all;
    for (auto& run : all)
        run = measure(before, after);
    auto const median = [&](auto field) {
        std::ranges::sort(all, {}, field);
        return all[runs / 2].*field;
    };
    measured_version result = all.front();
    result.reading_ms = median(&measured_version::reading_ms);
    result.longest_step_ms = median(&measured_version::longest_step_ms);
    result.in_force_ms = median(&measured_version::in_force_ms);
    return result;
}

} // namespace

int main()
{
    std::cout << "routes before, after    bytes  steps  reading ms  longest step ms  in force ms\n";
    constexpr std::array<std::size_t, 5> sizes { 49, 1449, 2849, 4249, 8449 };
    for (std::size_t index = 1; index < sizes.size(); ++index) {
        auto const version = median_of_runs(sizes.at(index - 1), sizes.at(index));
        std::cout << std::setw(13) << sizes.at(index - 1) << std::setw(7) << sizes.at(index) << std::setw(9)
                  << version.bytes << std::setw(7) << version.steps << std::fixed << std::setprecision(2)
                  << std::setw(12) << version.reading_ms << std::setw(17) << version.longest_step_ms << std::setw(13)
                  << version.in_force_ms << '\n';
    }
    return 0;
}
