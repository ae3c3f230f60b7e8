// SPDX-License-Identifier: BSD-2-Clause
// Measures the cost of single decisions of the router and endpoint reducers by the number of backlogged accounts,
// teams, endpoints and policies, and the memory that a router's state occupies.
#include "base/hash.h"
#include "libraries/endpoint/endpoint_reducer.h"
#include "libraries/router/router_reducer.h"

#include <chrono>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>
#include <unistd.h>

namespace {

using namespace shedhill;

double microseconds_since(std::chrono::steady_clock::time_point started)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started).count();
}

double resident_mib()
{
    std::ifstream statm("/proc/self/statm");
    long pages = 0;
    long resident = 0;
    statm >> pages >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
}

std::string hash_of(std::size_t team)
{
    auto const digits = std::to_string(team);
    return std::string(64 - digits.size(), '0') + digits;
}

struct router_size {
    std::size_t teams { 1000 };
    std::size_t endpoints { 400 };
    std::size_t pools { 1 };
    std::size_t backlogged { 100 };
    std::size_t policies { 4 };
};

config::change make_configuration(router_size const& size)
{
    config::change change { "all", partner_name("p"), {}, {} };
    for (std::size_t index = 0; index < size.teams; ++index) {
        config::team team;
        team.partner = partner_name("p");
        team.name = team_name("p/team-" + std::to_string(index));
        team.labels = { { "desk", "desk-" + std::to_string(index % 10) } };
        team.key_hashes = { hash_of(index) };
        change.puts.emplace_back(team);
    }
    for (std::size_t index = 0; index < size.endpoints; ++index) {
        config::endpoint endpoint;
        endpoint.partner = partner_name("p");
        endpoint.name = endpoint_name("p/e-" + std::to_string(index));
        endpoint.pool = pool_name("model-" + std::to_string(index % size.pools));
        endpoint.domain = failure_domain("domain-" + std::to_string(index % 13));
        change.puts.emplace_back(endpoint);
    }
    for (std::size_t index = 0; index < size.policies; ++index) {
        config::policy policy;
        policy.partner = partner_name("p");
        policy.name = "p/use-" + std::to_string(index);
        if (index + 1 < size.policies)
            policy.teams.required["desk"] = { "none-" + std::to_string(index) };
        change.puts.emplace_back(policy);
    }
    return change;
}

// A router reducer of the given size with all its links connected and one waiting request for each backlogged account.
class loaded_router {
public:
    explicit loaded_router(router_size const& size)
        : m_size(size)
        , m_reducer(make_options())
    {
        post(router::tick {});
        post(router::head_read { revision(1) });
        post(router::changes_read { { { revision(1), make_configuration(size) } } });
        router::vms_listed listed;
        for (std::size_t index = 0; index < size.endpoints; ++index) {
            listed.vms.push_back({ vm_name("vm-" + std::to_string(index)), table_service::vm_role::endpoint,
                table_service::vm_state::live, "127.0.0.1:1", failure_domain("domain-" + std::to_string(index % 13)),
                endpoint_name("p/e-" + std::to_string(index)) });
        }
        for (auto const& effect : post(std::move(listed))) {
            if (auto const* open = std::get_if<router::open_connection>(&effect))
                post(router::connection_up {
                    connection_id(++m_links), open->vm, wire::process_role::endpoint, {}, revision(1), false });
        }
        for (std::size_t index = 0; index < size.backlogged; ++index)
            submit(index);
    }

    router::effect_list post(router::event_body body)
    {
        m_now += milliseconds(1);
        return m_reducer.reduce({ m_now, ++m_draw, std::move(body) });
    }

    router::effect_list submit(std::size_t team)
    {
        router::caller_request request;
        request.request = request_number(++m_requests);
        request.key_hash = hash_of(team);
        request.pool = pool_name("model-" + std::to_string(team % m_size.pools));
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.body = std::string(500, 'x');
        request.time_left = milliseconds(60000000);
        return post(std::move(request));
    }

    // Delivers a grant for a team's account and, if the router sends a request, one chunk of its answer and the end.
    void serve_one(std::size_t team, std::size_t link)
    {
        auto const account = account_of(
            team_name("p/team-" + std::to_string(team)), pool_name("model-" + std::to_string(team % m_size.pools)));
        connection_id const connection(link);
        auto const effects = post(router::message_received { connection, wire::grant { grant_number(1), account } });
        for (auto const& effect : effects) {
            auto const* sent = std::get_if<router::send_message>(&effect);
            auto const* run = sent == nullptr ? nullptr : std::get_if<wire::run>(&sent->message);
            if (run == nullptr)
                continue;
            post(router::message_received { connection,
                wire::chunk { run->request, run->attempt, chunk_sequence(0), 200, "t", "x", service_units(1000) } });
            post(router::message_received { connection,
                wire::finished { run->request, run->attempt, chunk_sequence(1), wire::run_outcome::ran,
                    wire::reason::none, service_units(260000), 0 } });
        }
    }

    [[nodiscard]] std::size_t links() const { return m_links; }
    void advance(milliseconds time) { m_now += time; }

private:
    static router::options make_options()
    {
        router::options result;
        result.vm = vm_name("router");
        result.epoch = process_epoch(1);
        result.queue_bound = 1000000;
        return result;
    }

    router_size m_size;
    router::router_reducer m_reducer;
    instant m_now { milliseconds(1000) };
    std::uint64_t m_draw { 0 };
    std::uint64_t m_links { 0 };
    std::uint64_t m_requests { 0 };
};

double measure_ticks(loaded_router& router)
{
    constexpr int rounds = 200;
    double total = 0;
    for (int round = 0; round < rounds; ++round) {
        router.advance(milliseconds(50));
        auto const started = std::chrono::steady_clock::now();
        router.post(router::tick {});
        total += microseconds_since(started);
    }
    return total / rounds;
}

void measure_router(router_size const& size)
{
    constexpr int rounds = 400;
    auto const before = resident_mib();
    loaded_router router(size);
    auto const state_mib = resident_mib() - before;
    auto started = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        router.submit(static_cast<std::size_t>(round) % size.backlogged);
    auto const arrival = microseconds_since(started) / rounds;
    started = std::chrono::steady_clock::now();
    for (int round = 0; round < rounds; ++round)
        router.serve_one(
            static_cast<std::size_t>(round) % size.backlogged, 1 + static_cast<std::size_t>(round) % router.links());
    auto const service = microseconds_since(started) / rounds;
    // The first ticks widen the offers to more endpoints; the offers of later ticks don't change.
    auto const widening = measure_ticks(router);
    for (int skipped = 0; skipped < 3; ++skipped)
        measure_ticks(router);
    auto const steady = measure_ticks(router);
    std::cout << std::setw(8) << size.teams << std::setw(10) << size.endpoints << std::setw(7) << size.pools
              << std::setw(11) << size.backlogged << std::setw(7) << router.links() << std::setw(12) << arrival
              << std::setw(12) << service << std::setw(12) << widening << std::setw(12) << steady << std::setw(10)
              << state_mib << '\n';
}

void measure_endpoint(std::size_t accounts, std::size_t routers)
{
    endpoint::options settings;
    settings.vm = vm_name("e");
    endpoint::endpoint_reducer reducer(settings);
    instant now(milliseconds(1000));
    std::uint64_t draw = 0;
    auto const post = [&](endpoint::event_body body) {
        now += milliseconds(1);
        return reducer.reduce({ now, ++draw, std::move(body) });
    };
    for (std::size_t router = 1; router <= routers; ++router)
        post(endpoint::connection_up { connection_id(router), vm_name("r"), process_epoch(1), revision(1) });
    for (std::size_t router = 1; router <= routers; ++router) {
        wire::offer offered { revision(1), {} };
        for (std::size_t account = 0; account < accounts; ++account) {
            offered.entries.push_back({ account_id(account + 1), static_cast<std::int64_t>(account),
                service_units(260000), 60, milliseconds(1000), 1, 0 });
        }
        post(endpoint::message_received { connection_id(router), std::move(offered) });
    }
    constexpr int rounds = 2000;
    auto const started = std::chrono::steady_clock::now();
    std::uint64_t grant = 1;
    for (int round = 0; round < rounds; ++round) {
        // Returning the slot makes the endpoint decide on the next grant at once.
        for (std::size_t router = 1; router <= routers; ++router) {
            auto const free_before = reducer.free_slots();
            post(endpoint::message_received { connection_id(router), wire::no_work { grant_number(grant) } });
            if (free_before != reducer.free_slots())
                break;
        }
        ++grant;
    }
    std::cout << std::setw(9) << accounts << std::setw(9) << routers << std::setw(14)
              << microseconds_since(started) / rounds << '\n';
}

} // namespace

int main()
{
    std::cout
        << std::fixed << std::setprecision(1)
        << "router: microseconds for an arrival, for a grant with its chunk and end, for a tick while offers widen, "
           "and for\n"
           "a tick while they don't change; state in MiB\n"
        << "   teams endpoints  pools backlogged  links     arrival     service    widening      steady       MiB\n";
    for (std::size_t const backlogged : { 25, 100, 400, 1600 })
        measure_router({ 16000, 400, 1, backlogged, 4 });
    for (std::size_t const teams : { 1000, 4000, 16000 })
        measure_router({ teams, 400, 1, 100, 4 });
    for (std::size_t const endpoints : { 400, 4000, 12000 })
        measure_router({ 16000, endpoints, endpoints / 400, 100, 4 });
    for (std::size_t const policies : { 4, 40, 400 })
        measure_router({ 16000, 400, 1, 100, policies });
    measure_router({ 16000, 12000, 30, 1600, 40 });
    std::cout
        << "endpoint: microseconds for returning a slot and granting it again\n accounts  routers      decision\n";
    for (std::size_t const accounts : { 10, 100, 400, 1600 })
        measure_endpoint(accounts, 4);
    for (std::size_t const routers : { 4, 12, 40 })
        measure_endpoint(100, routers);
}
