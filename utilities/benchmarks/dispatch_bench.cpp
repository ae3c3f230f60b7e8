// SPDX-License-Identifier: BSD-2-Clause
// Measures the cost of the dispatcher's decisions for several numbers of engines: a request that is sent and answered,
// a request that is refused, and a tick while many requests wait. The times are wall-clock times of one process.
#include "libraries/dispatch/dispatch_reducer.h"
#include "libraries/settings/setting_table.h"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <random>

namespace {

using namespace shedhill;
using namespace shedhill::dispatch;

constexpr std::size_t teams = 16;
// The number of different second prompt parts. Requests with the same second part can share a cached prefix.
constexpr std::size_t subjects = 160;
constexpr token_count entitled_tokens_per_second_and_engine = 45000;

std::string key_of_team(std::size_t team) { return "key-" + std::to_string(team); }

configuration make_configuration(std::size_t engines)
{
    configuration result;
    result.revision = 1;
    result.has_teams = true;
    for (std::size_t team = 0; team < teams; ++team)
        result.teams.push_back({ team_name("team-" + std::to_string(team)), { key_of_team(team) }, {} });
    result.pools = { { pool_name("model"), 600, 128, 986000, 5 } };
    result.limits.tokens_per_second = entitled_tokens_per_second_and_engine * static_cast<token_count>(engines);
    route chat;
    chat.host = "host";
    chat.path_prefix = "/chat/";
    chat.form = answer_form::stream;
    chat.retry = retry_mode::never;
    chat.time_limit = milliseconds(15000);
    chat.objective = milliseconds(600);
    chat.pause_objective = milliseconds(300);
    chat.pools = { { pool_name("model"), 1 } };
    result.routes = { chat };
    return result;
}

std::vector<endpoint_entry> make_endpoints(std::size_t engines)
{
    std::vector<endpoint_entry> result;
    for (std::size_t engine = 0; engine < engines; ++engine)
        result.push_back({ endpoint_name("i-" + std::to_string(engine)), "10.0.0.1:8000", pool_name("model"),
            failure_domain(engine % 2 == 0 ? "north" : "south"), 128, false });
    return result;
}

// A dispatch reducer with a configuration, a list of engines and a virtual clock.
class simulated_router {
public:
    explicit simulated_router(std::size_t engines)
        : m_reducer({ .vm = vm_name("router"),
            .domain = failure_domain("north"),
            .retries = { 0.2, milliseconds(10000), 50, 1 } })
    {
        apply(configuration_received { make_configuration(engines) });
        apply(endpoints_listed { make_endpoints(engines) });
    }

    effect_list apply(event_body body) { return m_reducer.reduce({ m_now, m_random(), std::move(body) }); }

    request_number submit(std::size_t team, token_count prompt)
    {
        request_arrived arrived;
        arrived.request = request_number(++m_last_request);
        arrived.caller_id = "9c41d07be2a35f68";
        arrived.host = "host";
        arrived.path = "/chat/x";
        arrived.key = key_of_team(team);
        arrived.cost.prompt = prompt;
        arrived.cost.generated = 300;
        arrived.cost.parts = { { 1, prompt / 8 }, { 2 + m_random() % subjects, prompt / 3 },
            { 1000000 + m_last_request, prompt - prompt / 8 - prompt / 3 } };
        arrived.time_left = milliseconds(15000);
        auto const number = arrived.request;
        m_effects = apply(std::move(arrived));
        return number;
    }

    // Returns whether the dispatcher sent the last submitted request at once.
    [[nodiscard]] bool is_sent() const
    {
        return std::ranges::any_of(
            m_effects, [](effect const& candidate) { return std::holds_alternative<send_attempt>(candidate); });
    }

    void answer(request_number request)
    {
        apply(answer_began { request, attempt_number(1) });
        apply(attempt_ended { request, attempt_number(1), attempt_end::complete, 200, 60, true });
    }

    void advance(milliseconds time)
    {
        m_now += time;
        apply(tick {});
    }

    [[nodiscard]] dispatch_reducer& reducer() { return m_reducer; }

private:
    dispatch_reducer m_reducer;
    instant m_now { milliseconds(100000) };
    std::mt19937_64 m_random { 20261202 };
    std::uint64_t m_last_request { 0 };
    effect_list m_effects;
};

template <typename Action>
double mean_microseconds(std::size_t times, Action&& action)
{
    auto const start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < times; ++index)
        action();
    auto const elapsed = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start);
    return elapsed.count() / static_cast<double>(times);
}

// Measures a request of a team within its share: it arrives, is sent, and its answer starts and ends.
double measure_sent_request(std::size_t engines, std::size_t times)
{
    simulated_router router(engines);
    std::size_t team = 0;
    return mean_microseconds(times, [&] {
        auto const request = router.submit(++team % teams, 600);
        if (router.is_sent())
            router.answer(request);
        router.advance(milliseconds(10));
    });
}

// Measures requests of a team that has exceeded its share while all engines have pending prefill: each request waits
// and is then refused.
double measure_refused_request(std::size_t engines, std::size_t times)
{
    simulated_router router(engines);
    for (std::size_t index = 0; index < engines * 40; ++index)
        router.submit(1, 20000);
    router.advance(milliseconds(100));
    return mean_microseconds(times, [&] {
        router.submit(1, 6000);
        router.submit(1, 6000);
        router.advance(milliseconds(10));
    }) / 2;
}

double measure_tick(std::size_t engines, std::size_t waiting, std::size_t times)
{
    simulated_router router(engines);
    for (std::size_t index = 0; index < engines * 40; ++index)
        router.submit(1, 20000);
    for (std::size_t index = 0; index < waiting; ++index)
        router.submit(2 + index % (teams - 2), 6000);
    return mean_microseconds(times, [&] { router.advance(milliseconds(1)); });
}

settings::setting_table describe_settings()
{
    settings::setting_table table("shedhill-dispatch-bench");
    table.add_number("times", 20000, 100, 10000000, "The number of timed decisions of each kind.");
    table.add_number("waiting", 1000, 1, 100000, "The number of requests that wait during the timed ticks.");
    table.add_flag("help", "Prints this text.");
    return table;
}

} // namespace

int main(int count, char** arguments)
{
    auto const table = describe_settings();
    auto const values = table.parse(count, arguments);
    if (!values) {
        std::cerr << values.error().to_string() << '\n';
        return 2;
    }
    if (values->has_flag("help")) {
        std::cout << table.help();
        return EXIT_SUCCESS;
    }
    auto const times = static_cast<std::size_t>(values->number("times"));
    auto const waiting = static_cast<std::size_t>(values->number("waiting"));
    constexpr std::size_t ticks = 40;
    std::cout << std::fixed << std::setprecision(1);
    for (auto const engines : { std::size_t { 9 }, std::size_t { 54 }, std::size_t { 600 } }) {
        std::cout << engines << " engines: sent and answered " << measure_sent_request(engines, times)
                  << " us; refused " << measure_refused_request(engines, times) << " us; a tick with " << waiting
                  << " waiting " << measure_tick(engines, waiting, ticks) << " us\n";
    }
    return EXIT_SUCCESS;
}
