// SPDX-License-Identifier: BSD-2-Clause
// What a decision of the dispatcher costs in processor time: a request that is sent and answered, one that is refused
// at once, and a tick while many wait, by the number of engines. Real time of this machine; needs nothing else.
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
constexpr std::size_t subjects = 160;
constexpr token_count owed_per_second_and_engine = 45000;

std::string key_of_team(std::size_t team) { return "key-" + std::to_string(team); }

configuration make_configuration(std::size_t engines)
{
    configuration made;
    made.revision = 1;
    made.has_teams = true;
    for (std::size_t team = 0; team < teams; ++team)
        made.teams.push_back({ team_name("team-" + std::to_string(team)), { key_of_team(team) }, {} });
    made.pools = { { pool_name("model"), 600, 128, 986000, 5 } };
    made.limits.tokens_per_second = owed_per_second_and_engine * static_cast<token_count>(engines);
    route chat;
    chat.host = "host";
    chat.path_prefix = "/chat/";
    chat.form = answer_form::stream;
    chat.retry = retry_mode::never;
    chat.time_limit = milliseconds(15000);
    chat.objective = milliseconds(600);
    chat.pause_objective = milliseconds(300);
    chat.pools = { { pool_name("model"), 1 } };
    made.routes = { chat };
    return made;
}

std::vector<endpoint_entry> make_endpoints(std::size_t engines)
{
    std::vector<endpoint_entry> made;
    for (std::size_t engine = 0; engine < engines; ++engine)
        made.push_back({ endpoint_name("i-" + std::to_string(engine)), "10.0.0.1:8000", pool_name("model"),
            failure_domain(engine % 2 == 0 ? "north" : "south"), 128, false });
    return made;
}

// A router before some engines, on virtual time.
class driven_router {
public:
    explicit driven_router(std::size_t engines)
        : m_reducer({ .vm = vm_name("router"),
            .domain = failure_domain("north"),
            .retries = { 0.2, milliseconds(10000), 50, 1 } })
    {
        take(configuration_received { make_configuration(engines) });
        take(endpoints_listed { make_endpoints(engines) });
    }

    effect_list take(event_body body) { return m_reducer.reduce({ m_now, m_random(), std::move(body) }); }

    request_number ask(std::size_t team, token_count prompt)
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
        m_effects = take(std::move(arrived));
        return number;
    }

    // Whether the last request that was asked was sent.
    [[nodiscard]] bool is_sent() const
    {
        return std::ranges::any_of(
            m_effects, [](effect const& done) { return std::holds_alternative<send_attempt>(done); });
    }

    void answer(request_number request)
    {
        take(answer_began { request, attempt_number(1) });
        take(attempt_ended { request, attempt_number(1), attempt_end::complete, 200, 60, true });
    }

    void pass(milliseconds time)
    {
        m_now += time;
        take(tick {});
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
double microseconds_each(std::size_t times, Action&& action)
{
    auto const start = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < times; ++index)
        action();
    auto const took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start);
    return took.count() / static_cast<double>(times);
}

// A request of a team within its share: it arrives, is sent, begins and is answered.
double cost_of_a_sent_request(std::size_t engines, std::size_t times)
{
    driven_router router(engines);
    std::size_t team = 0;
    return microseconds_each(times, [&] {
        auto const request = router.ask(++team % teams, 600);
        if (router.is_sent())
            router.answer(request);
        router.pass(milliseconds(10));
    });
}

// Requests of one team that has used up its share, before engines that are all reading: each waits and is refused.
double cost_of_a_refused_request(std::size_t engines, std::size_t times)
{
    driven_router router(engines);
    for (std::size_t index = 0; index < engines * 40; ++index)
        router.ask(1, 20000);
    router.pass(milliseconds(100));
    return microseconds_each(times, [&] {
        router.ask(1, 6000);
        router.ask(1, 6000);
        router.pass(milliseconds(10));
    }) / 2;
}

double cost_of_a_tick(std::size_t engines, std::size_t waiting, std::size_t times)
{
    driven_router router(engines);
    for (std::size_t index = 0; index < engines * 40; ++index)
        router.ask(1, 20000);
    for (std::size_t index = 0; index < waiting; ++index)
        router.ask(2 + index % (teams - 2), 6000);
    return microseconds_each(times, [&] { router.pass(milliseconds(1)); });
}

settings::setting_table describe_settings()
{
    settings::setting_table table("shedhill-dispatch-bench");
    table.add_number("times", 20000, 100, 10000000, "Decisions to be timed of each kind.");
    table.add_number("waiting", 1000, 1, 100000, "Requests that wait during the timed ticks.");
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
        std::cout << engines << " engines: sent and answered " << cost_of_a_sent_request(engines, times)
                  << " us; refused " << cost_of_a_refused_request(engines, times) << " us; a tick with " << waiting
                  << " waiting " << cost_of_a_tick(engines, waiting, ticks) << " us\n";
    }
    return EXIT_SUCCESS;
}
