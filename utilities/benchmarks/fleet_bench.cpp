// SPDX-License-Identifier: BSD-2-Clause
// Measures a fleet of real processes on the loopback interface: its latency relative to requests sent directly to an
// engine, the resource use of idle processes and of open streams, and the service gap, slot utilisation and control
// traffic under backlog.
#include "libraries/net/fiber_scheduler.h"
#include "libraries/settings/setting_table.h"
#include "tests/harness/caller.h"
#include "tests/harness/fleet.h"
#include "tests/harness/parallel.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>

namespace {

using namespace shedhill;
using namespace shedhill::harness;

struct samples {
    std::vector<double> values;

    // Returns the value at a quantile from 0 to 1; there must be at least one value.
    [[nodiscard]] double quantile(double fraction) const
    {
        auto sorted = values;
        std::ranges::sort(sorted);
        return sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
    }
};

// Latencies in milliseconds: from the start of the request to its first token, and the mean interval between tokens.
struct latency_samples {
    samples time_to_first_token;
    samples token_interval;
};

// Sends requests one after another to the address of an engine or a router.
latency_samples measure_latency(std::string const& address, int count)
{
    constexpr std::size_t tokens = 20;
    latency_samples result;
    for (int request = 0; request < count; ++request) {
        auto const started = std::chrono::steady_clock::now();
        auto const answer = request_chat(address, fleet::key_of("recetario/team-0"), "cook", "q", tokens);
        auto const total
            = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started).count();
        if (!answer.is_whole)
            continue;
        auto const first = std::chrono::duration<double, std::milli>(answer.exact_time_to_first_token).count();
        result.time_to_first_token.values.push_back(first);
        result.token_interval.values.push_back((total - first) / (tokens - 1));
    }
    return result;
}

void print_ratio(std::string const& what, samples const& through, samples const& direct)
{
    std::cout << "  " << what << ": through the fleet " << through.quantile(0.5) << " / " << through.quantile(0.95)
              << " ms, directly " << direct.quantile(0.5) << " / " << direct.quantile(0.95) << " ms, ratio "
              << through.quantile(0.5) / direct.quantile(0.5) << " / " << through.quantile(0.95) / direct.quantile(0.95)
              << '\n';
}

void bench_latency()
{
    constexpr int count = 150;
    auto shape = small_shape();
    auto running = fleet::start(shape).value();
    measure_latency(running.http(0), 10);
    auto const direct = measure_latency(running.engines().front().address("http"), count);
    auto const through = measure_latency(running.http(0), count);
    std::cout << "latency, " << count << " answers of 20 tokens of 5 ms, median / 95th percentile\n";
    print_ratio("first token", through.time_to_first_token, direct.time_to_first_token);
    print_ratio("between tokens", through.token_interval, direct.token_interval);
}

void bench_idle()
{
    constexpr int seconds = 10;
    fleet_shape shape;
    shape.partners = { recetario_shape(), batinah_shape() };
    shape.routers = 3;
    auto running = fleet::start(shape).value();
    pause(2000);
    auto const& router = running.routers().front();
    auto const& endpoint = running.endpoints().front();
    auto const router_before = running.metrics(router).value();
    auto const endpoint_before = running.metrics(endpoint).value();
    pause(seconds * 1000);
    auto const router_after = running.metrics(router).value();
    auto const endpoint_after = running.metrics(endpoint).value();
    auto const print = [&](std::string const& role, auto const& before, auto const& after) {
        auto const used = after.at("shedhill_cpu_seconds") - before.at("shedhill_cpu_seconds");
        auto const sent = after.at("shedhill_control_bytes_sent") - before.at("shedhill_control_bytes_sent");
        std::cout << "  " << role << ": " << used / seconds * 100 << "% of a core, "
                  << after.at("shedhill_resident_peak_kib") / 1024 << " MiB, " << sent / seconds
                  << " control bytes/s\n";
    };
    std::cout << "idle for " << seconds << " s, both deployments, 3 routers, 27 endpoint processes\n";
    print("router", router_before, router_after);
    print("endpoint", endpoint_before, endpoint_after);
}

// Measures the memory of a router and of an endpoint process by the number of open streams, and their CPU time for each
// token.
void bench_streams()
{
    constexpr std::size_t tokens = 200;
    auto shape = small_shape();
    shape.slots = 200;
    shape.token_interval_ms = 34;
    std::cout << "streams of " << tokens << " tokens of 34 ms through one router and three endpoint processes\n";
    for (std::size_t const streams : { 0, 100, 200, 400 }) {
        auto running = fleet::start(shape).value();
        auto const& router = running.routers().front();
        auto const& endpoint = running.endpoints().front();
        fiber_group callers;
        for (std::size_t index = 0; index < streams; ++index) {
            callers.start([&, index] {
                request_chat(
                    running.http(0), fleet::key_of("recetario/team-" + std::to_string(index % 4)), "cook", "q", tokens);
            });
        }
        pause(2000);
        auto const cpu
            = [&](child_process const& process) { return running.metrics(process).value().at("shedhill_cpu_seconds"); };
        auto const router_before = cpu(router);
        auto const endpoint_before = cpu(endpoint);
        pause(3000);
        auto const router_used = (cpu(router) - router_before) / 3;
        auto const endpoint_used = (cpu(endpoint) - endpoint_before) / 3;
        auto const rate = static_cast<double>(streams) / 0.034;
        std::cout << "  " << streams << " streams: router "
                  << running.metrics(router).value().at("shedhill_resident_peak_kib") / 1024 << " MiB, "
                  << router_used * 100 << "% of a core, " << (streams == 0 ? 0 : router_used / rate * 1e6)
                  << " us a token; endpoint process "
                  << running.metrics(endpoint).value().at("shedhill_resident_peak_kib") / 1024 << " MiB, "
                  << endpoint_used * 100 << "% of a core, " << (streams == 0 ? 0 : endpoint_used / (rate / 3) * 1e6)
                  << " us a token\n";
        callers.join();
    }
}

// A configuration of the fleet under backlog; the plan "product" is the default configuration.
struct backlog_plan {
    std::string name;
    std::vector<std::string> router_settings;
    std::vector<std::string> endpoint_settings;
};

// Keeps all teams backlogged, spread unevenly over the routers; a quarter of the teams request long answers.
class backlog_run {
public:
    backlog_run(backlog_plan const& plan, std::size_t routers, int seconds)
        : m_seconds(seconds)
    {
        fleet_shape shape;
        shape.partners = { recetario_shape() };
        shape.partners.front().services = 0;
        shape.routers = routers;
        shape.token_interval_ms = 10;
        shape.router_settings = plan.router_settings;
        shape.endpoint_settings = plan.endpoint_settings;
        // The gap is measured in generated tokens, so prompt and cached tokens must not count as service.
        shape.endpoint_settings.emplace_back("--prompt-weight=0");
        shape.endpoint_settings.emplace_back("--cached-weight=0");
        m_fleet = std::make_unique<fleet>(fleet::start(shape).value());
        m_slots = shape.partners.front().engines * shape.slots;
        m_tokens.resize(shape.partners.front().teams);
    }

    void run(std::string const& name)
    {
        fiber_group callers;
        for (std::size_t team = 0; team < m_tokens.size(); ++team) {
            for (std::size_t open = 0; open < open_requests; ++open)
                callers.start([this, team, open] { keep_sending(team, open); });
        }
        pause(warm_up_ms);
        m_tokens.assign(m_tokens.size(), 0);
        auto const before = control_bytes();
        for (int step = 0; step < m_seconds * 5; ++step) {
            pause(200);
            sample();
        }
        auto const bytes = control_bytes() - before;
        m_is_over = true;
        callers.join();
        print(name, bytes);
        for (auto const* counter :
            { "shedhill_offers_sent_total", "shedhill_grants_received_total", "shedhill_grants_without_work_total",
                "shedhill_grants_moved_total", "shedhill_reports_sent_total", "shedhill_requests_total" })
            std::cout << "    " << counter << ' ' << total_of(counter) << '\n';
    }

private:
    static constexpr std::size_t open_requests = 16;
    static constexpr int warm_up_ms = 3000;
    static constexpr std::size_t short_answer = 20;
    static constexpr std::size_t long_answer = 100;

    void keep_sending(std::size_t team, std::size_t open)
    {
        auto const routers = m_fleet->routers().size();
        // Team number t sends its requests to up to 1 + t % 4 different routers.
        auto const router = (team * 7 + open % (1 + team % 4)) % routers;
        auto const key = fleet::key_of("recetario/team-" + std::to_string(team));
        while (!m_is_over) {
            auto const tokens = team % 4 == 0 ? long_answer : short_answer;
            auto const answer = request_chat(m_fleet->http(router), key, "cook", "q", tokens);
            m_tokens[team] += static_cast<double>(answer.tokens);
        }
    }

    void sample()
    {
        auto const [min, max] = std::ranges::minmax(m_tokens);
        m_gaps.push_back(max - min);
        std::uint64_t running = 0;
        for (auto const& engine : m_fleet->engines())
            running += get_json(engine.address("http"), "/now").value().at("running").to_number<std::uint64_t>();
        m_used.push_back(static_cast<double>(running) / static_cast<double>(m_slots));
    }

    double control_bytes() { return total_of("shedhill_control_bytes_sent"); }

    double total_of(std::string const& counter)
    {
        double total = 0;
        for (auto const& router : m_fleet->routers()) {
            auto const counters = m_fleet->metrics(router).value();
            auto const found = counters.find(counter);
            total += found == counters.end() ? 0 : found->second;
        }
        return total;
    }

    void print(std::string const& name, double bytes) const
    {
        double total = 0;
        for (auto const tokens : m_tokens)
            total += tokens;
        auto const share = total / m_seconds / static_cast<double>(m_tokens.size());
        double used = 0;
        for (auto const fraction : m_used)
            used += fraction;
        auto gaps = m_gaps;
        std::ranges::sort(gaps);
        std::cout << "  " << std::left << std::setw(28) << name << " worst gap " << gaps.back() / share << " s, p99 "
                  << gaps[gaps.size() * 99 / 100] / share << " s, slots used "
                  << used / static_cast<double>(m_used.size()) << ", control "
                  << bytes / m_seconds / static_cast<double>(m_fleet->routers().size()) << " bytes/s a router, "
                  << total / m_seconds << " tokens/s\n";
    }

    int m_seconds;
    std::unique_ptr<fleet> m_fleet;
    std::size_t m_slots { 0 };
    std::vector<double> m_tokens;
    std::vector<double> m_gaps;
    std::vector<double> m_used;
    bool m_is_over { false };
};

void bench_backlog(std::size_t routers, int seconds)
{
    std::vector<backlog_plan> const plans { { "product", {}, {} },
        { "each endpoint by its own", {}, { "--choice=own-counters" } },
        { "each router by its own", { "--report-interval-ms=60000" }, { "--choice=least-level" } } };
    std::cout << "backlog, " << routers << " routers, 12 endpoints of 6 slots, 16 teams, " << seconds
              << " s; gaps in seconds of a fair share\n";
    for (auto const& plan : plans) {
        backlog_run run(plan, routers, seconds);
        run.run(plan.name);
    }
}

} // namespace

int main(int count, char** arguments)
{
    settings::setting_table table("shedhill-fleet-bench");
    table.add_choice("only", { "all", "latency", "idle", "streams", "backlog" }, "The measurement to run.");
    table.add_number("routers", 8, 1, 60, "The number of routers of the backlogged fleet.");
    table.add_number("seconds", 20, 5, 600, "The duration of the measurement under backlog in seconds.");
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    net::process_io_context();
    std::cout << std::fixed << std::setprecision(2);
    auto const is_selected
        = [&](std::string const& part) { return values->text("only") == "all" || values->text("only") == part; };
    if (is_selected("latency"))
        bench_latency();
    if (is_selected("idle"))
        bench_idle();
    if (is_selected("streams"))
        bench_streams();
    if (is_selected("backlog"))
        bench_backlog(static_cast<std::size_t>(values->number("routers")), static_cast<int>(values->number("seconds")));
}
