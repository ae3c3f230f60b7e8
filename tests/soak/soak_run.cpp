// SPDX-License-Identifier: BSD-2-Clause
// Controls a soak run and collects its observations. The faults are in soak_faults.cpp.
#include "tests/soak/soak_run.h"

#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_times.h"

#include <algorithm>
#include <fstream>

namespace shedhill::soak {

namespace {

// Requests a second that a cold replica sustains; callers send far more to a warm one.
constexpr int cold_per_second = 12;
// An evacuation is in force at all routers within this time.
constexpr int evacuation_propagation_ms = 3000;
constexpr std::chrono::milliseconds probe_timeout { 3000 };
constexpr int probe_pause_ms = 40;
// Each probe requests the route of one of the newest revisions, of which this number is probed in turn.
constexpr std::uint64_t revisions_probed = 3;

char const* name_of(caller_end end)
{
    switch (end) {
    case caller_end::whole:
        return "whole";
    case caller_end::broken:
        return "broken";
    case caller_end::closed:
        return "closed";
    case caller_end::left:
        return "left";
    case caller_end::unanswered:
        return "unanswered";
    }
    return "invalid";
}

} // namespace

result<std::unique_ptr<soak_run>> soak_run::start(soak_options const& options)
{
    harness::hosted_fleet_options fleet;
    fleet.routers = options.routers;
    fleet.replicas = options.replicas;
    fleet.domains = options.domains;
    fleet.cold_per_second = cold_per_second;
    fleet.links = harness::link_kind::through_proxies;
    fleet.versions = { "v1", "v2" };
    fleet.log_folder = options.log_folder;
    std::filesystem::create_directories(options.log_folder);
    return std::unique_ptr<soak_run>(new soak_run(options, TRY(harness::hosted_fleet::start(fleet))));
}

soak_run::soak_run(soak_options options, harness::hosted_fleet fleet)
    : m_options(std::move(options))
    , m_fleet(std::move(fleet))
    , m_routers(m_options.routers)
    , m_replicas(m_options.replicas)
{
}

soak_record soak_run::execute()
{
    harness::fiber_group background;
    background.start([this] { watch_processes(); });
    background.start([this] { watch_replicas(); });
    for (std::size_t index = 0; index < m_options.routers; ++index)
        background.start([this, index] { probe_revisions(index); });
    std::vector<std::unique_ptr<soak_caller>> callers;
    for (std::size_t index = 0; index < m_options.callers; ++index) {
        callers.push_back(
            std::make_unique<soak_caller>(m_fleet, m_record, "c" + std::to_string(index), m_options.plan.seed + index));
        background.start([this, &caller = *callers.back()] { caller.run(m_is_over); });
    }
    auto const started = soak_clock::now();
    {
        harness::fiber_group faults;
        for (auto const& fault : draw_plan(m_options.plan)) {
            faults.start([this, fault] {
                harness::pause(to_int(fault.at));
                inject_fault(fault);
            });
        }
    }
    auto const elapsed = std::chrono::duration_cast<milliseconds>(soak_clock::now() - started);
    if (elapsed < m_options.plan.run_for)
        harness::pause(to_int(m_options.plan.run_for - elapsed));
    wait_for_recovery();
    check_evacuation();
    m_is_over = true;
    background.join();
    read_runs();
    return std::move(m_record);
}

std::size_t soak_run::arrivals_in(std::string const& domain) const
{
    std::size_t arrivals = 0;
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        if (harness::hosted_fleet::domain_of_replica(index) != domain)
            continue;
        std::ifstream file(m_fleet.runs_file(index));
        for (std::string line; std::getline(file, line);)
            arrivals += line.starts_with("arrived") ? 1 : 0;
    }
    return arrivals;
}

void soak_run::check_evacuation()
{
    std::string const domain = harness::hosted_fleet::domain_of_replica(0);
    m_fleet.evacuate(domain);
    harness::pause(evacuation_propagation_ms);
    auto const before = arrivals_in(domain);
    harness::pause(evacuation_propagation_ms / 2);
    if (auto const after = arrivals_in(domain); after != before)
        m_record.findings.push_back(std::to_string(after - before) + " requests reached an evacuated failure domain");
    m_fleet.end_evacuation(domain);
    if (!harness::wait_until([&] { return arrivals_in(domain) > before; }))
        m_record.findings.emplace_back("a failure domain receives no requests after its evacuation has ended");
}

void soak_run::watch_processes()
{
    while (!m_is_over) {
        for (std::size_t index = 0; index < m_options.routers; ++index) {
            if (m_routers.at(index).has_owner || !m_fleet.router(index).has_ended())
                continue;
            m_record.findings.push_back("router " + std::to_string(index) + " ended by itself");
            stop_router(index, SIGKILL);
        }
        harness::pause(poll_interval_ms);
    }
}

void soak_run::watch_replicas()
{
    harness::fiber_group restarts;
    while (!m_is_over) {
        for (std::size_t index = 0; index < m_options.replicas; ++index) {
            if (m_replicas.at(index).has_owner || !m_fleet.replica(index).has_ended())
                continue;
            m_replicas.at(index).has_owner = true;
            restarts.start([this, index] { restart_crashed_replica(index); });
        }
        harness::pause(poll_interval_ms);
    }
}

void soak_run::probe_revisions(std::size_t router)
{
    std::uint64_t number = 0;
    while (!m_is_over) {
        harness::pause(probe_pause_ms);
        auto const instance = m_routers.at(router).instance;
        if (m_routers.at(router).has_owner || m_revision == 1)
            continue;
        auto const revisions_back = ++number % revisions_probed;
        if (m_revision < 2 + revisions_back)
            continue;
        auto const revision = m_revision - revisions_back;
        net::http_request const request { "GET", revision_prefix(revision),
            { { "Host", "shop.example" }, { "Authorization", "Bearer key-1" }, { "Shedhill-Deadline-Ms", "2000" },
                { "Shedhill-Request-Id", "probe-" + std::to_string(router) + "-" + std::to_string(number) } },
            {} };
        auto const answer = net::fetch(m_fleet.router(router).address("callers"), request, probe_timeout);
        if (answer && answer->status == 200 && instance == m_routers.at(router).instance)
            m_record.revisions.push_back({ router, instance, revision });
    }
}

void soak_run::wait_for_recovery()
{
    auto const is_owned = [](process_state const& state) { return state.has_owner; };
    if (!harness::wait_until([&] { return std::ranges::none_of(m_routers, is_owned); }))
        m_record.findings.emplace_back("a stopped router does not end");
    for (std::size_t router = 0; router < m_options.routers; ++router) {
        auto const name = "router " + std::to_string(router);
        if (!m_fleet.wait_until_ready(router)) {
            m_record.findings.push_back(name + " does not become ready after all faults");
            continue;
        }
        for (auto const form :
            { request_form::order, request_form::look, request_form::stream, request_form::stream_once }) {
            int tries = 0;
            bool const is_served = harness::wait_until([&] {
                auto const id
                    = "probe-last-" + std::to_string(router) + "-" + target_of(form) + std::to_string(++tries);
                auto const answer = m_fleet.send_request(router, target_of(form), id);
                return answer && answer->status == 200;
            });
            if (!is_served)
                m_record.findings.push_back(name + " does not serve " + target_of(form) + " after all faults");
        }
    }
}

void soak_run::read_runs()
{
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        std::ifstream file(m_fleet.runs_file(index));
        std::string event;
        std::string id;
        std::string method;
        std::string target;
        std::string incarnation;
        std::int64_t at_ms = 0;
        while (file >> event >> id >> method >> target >> incarnation >> at_ms) {
            if (event == "over") {
                m_record.findings.push_back("more requests than a cold replica sustains: " + incarnation);
                continue;
            }
            replica_event const observed { incarnation, id, soak_clock::time_point(milliseconds(at_ms)) };
            if (event == "asked_rest")
                m_record.backoffs.push_back(observed);
            if (event == "told_leaving")
                m_record.leavings.push_back(observed);
            if (event == "crashed")
                m_record.crashes.push_back(observed);
            if (event == "arrived")
                m_record.arrivals.push_back(observed);
            if (event != "ran" && event != "arrived")
                continue;
            auto& executions = m_record.executions[id];
            ++(event == "ran" ? executions.runs : executions.arrivals);
            executions.method = method;
            executions.target = target;
        }
    }
}

result<soak_result> run_soak(soak_options const& options)
{
    auto const run = TRY(soak_run::start(options));
    auto const record = run->execute();
    soak_result run_result { find_violations(record), record.requests.size(), {} };
    for (auto const& request : record.requests) {
        auto const status = request.end == caller_end::whole ? " " + std::to_string(request.status) : std::string();
        ++run_result.outcome_counts[name_of(request.end) + status];
        if (!request.first_request.empty())
            ++run_result.outcome_counts[request.events() > 0 ? "resumed" : "not resumed" + status];
    }
    return run_result;
}

} // namespace shedhill::soak
