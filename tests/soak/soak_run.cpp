// SPDX-License-Identifier: BSD-2-Clause
// Striking, healing and looking.
#include "tests/soak/soak_run.h"

#include "tests/soak/soak_caller.h"

#include <algorithm>
#include <array>
#include <fstream>

namespace shedhill::soak {

namespace {

using harness::link_fault;

constexpr int poll_ms = 20;
// After a leaving replica is listed as such, what it still serves ends within this time.
constexpr int drain_ms = 2500;
constexpr int lapse_return_ms = 1000;
// Far below what the callers send to a warm replica.
constexpr int cold_per_second = 12;
// An evacuation is in force everywhere within this time.
constexpr int evacuation_ms = 3000;
constexpr std::chrono::milliseconds probe_limit { 3000 };
constexpr int probe_pause_ms = 40;
constexpr std::uint64_t revisions_probed = 3;

int to_int(milliseconds time) { return static_cast<int>(time.count()); }

std::string revision_prefix(std::uint64_t revision) { return "/v" + std::to_string(revision) + "/"; }

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

soak_record soak_run::play()
{
    harness::fiber_group background;
    background.start([this] { watch_processes(); });
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
                strike(fault);
            });
        }
    }
    auto const played = std::chrono::duration_cast<milliseconds>(soak_clock::now() - started);
    if (played < m_options.plan.run_for)
        harness::pause(to_int(m_options.plan.run_for - played));
    heal_and_wait();
    check_evacuation();
    m_is_over = true;
    background.join();
    read_runs();
    return std::move(m_record);
}

void soak_run::strike(planned_fault const& fault)
{
    auto const router = fault.draw % m_options.routers;
    auto const replica = fault.draw % m_options.replicas;
    auto const began = soak_clock::now();
    switch (fault.kind) {
    case fault_kind::router_stop:
        return stop_router(router, SIGTERM);
    case fault_kind::router_reload:
        return m_fleet.router(router).send_signal(SIGHUP);
    case fault_kind::replica_drain:
        return drain_replica(replica);
    case fault_kind::configuration_change:
        return change_configuration();
    case fault_kind::evacuation:
        return evacuate(fault);
    case fault_kind::connections_silent:
        silence_connections(fault);
        break;
    case fault_kind::router_kill:
        stop_router(router, SIGKILL);
        break;
    case fault_kind::router_pause:
        pause_router(router, fault.lasts);
        break;
    case fault_kind::all_routers_kill: {
        harness::fiber_group all;
        for (std::size_t index = 0; index < m_options.routers; ++index)
            all.start([this, index] { stop_router(index, SIGKILL); });
        all.join();
        break;
    }
    case fault_kind::replica_kill:
        kill_replica(replica, fault);
        break;
    case fault_kind::replica_pause:
        pause_process(m_fleet.replica(replica), fault.lasts);
        break;
    case fault_kind::replica_busy:
        spoil_replica(replica, "busy", fault.lasts);
        break;
    case fault_kind::replica_cuts:
        spoil_replica(replica, "cut", fault.lasts);
        break;
    case fault_kind::replica_mute:
        spoil_replica(replica, "mute", fault.lasts);
        break;
    case fault_kind::replica_fails:
        spoil_replica(replica, "fail", fault.lasts);
        break;
    case fault_kind::replica_link:
        spoil_replica_link(replica, fault);
        break;
    case fault_kind::replica_rests:
        return rest_replicas(fault);
    case fault_kind::replica_leaves:
        return leave_by_answers(replica);
    // What happens to the store excuses no lost request.
    case fault_kind::store_pause:
        return pause_process(m_fleet.store(), fault.lasts);
    case fault_kind::store_link:
        return spoil_link(m_fleet.store_link(router), fault);
    case fault_kind::store_down:
        return spoil_store("down", fault.lasts);
    case fault_kind::store_forgets:
        return m_fleet.control_store({ { "forget", true } });
    case fault_kind::store_loses_answers:
        return spoil_store("lose", fault.lasts);
    case fault_kind::entries_lapse:
        return lapse_entries(fault.lasts);
    case fault_kind::count:
        return;
    }
    note_failure(began);
}

void soak_run::note_failure(soak_clock::time_point from) { m_record.failures.push_back({ from, soak_clock::now() }); }

void soak_run::stop_router(std::size_t index, int signal)
{
    auto& state = m_routers.at(index);
    auto const began = soak_clock::now();
    m_fleet.router(index).send_signal(signal);
    if (state.has_owner)
        return;
    state.has_owner = true;
    while (!m_fleet.router(index).has_ended())
        harness::pause(poll_ms);
    ++state.life;
    if (auto const restarted = m_fleet.restart_router(index); !restarted)
        m_record.findings.push_back("router " + std::to_string(index) + ": " + restarted.error().to_string());
    m_record.router_troubles.push_back({ index, { began, soak_clock::now() } });
    state.has_owner = false;
}

void soak_run::pause_router(std::size_t index, milliseconds lasts)
{
    auto const began = soak_clock::now();
    pause_process(m_fleet.router(index), lasts);
    m_record.router_troubles.push_back({ index, { began, soak_clock::now() } });
}

void soak_run::pause_process(harness::child_process& process, milliseconds lasts)
{
    process.send_signal(SIGSTOP);
    harness::pause(to_int(lasts));
    process.send_signal(SIGCONT);
}

void soak_run::drain_replica(std::size_t index)
{
    auto& state = m_replicas.at(index);
    if (state.has_owner)
        return;
    state.has_owner = true;
    m_fleet.list_replica(index, "draining");
    harness::pause(drain_ms);
    auto const began = soak_clock::now();
    renew_replica(index, milliseconds(0));
    note_failure(began);
    state.has_owner = false;
}

void soak_run::rest_replicas(planned_fault const& fault)
{
    // The lower bits choose the replica.
    bool const is_all = (fault.draw >> 32U) % 3 == 0;
    harness::fiber_group resting;
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        if (is_all || index == fault.draw % m_options.replicas)
            resting.start([this, index, lasts = fault.lasts] { spoil_replica(index, "rest", lasts); });
    }
    resting.join();
}

void soak_run::leave_by_answers(std::size_t index)
{
    auto& state = m_replicas.at(index);
    if (state.has_owner)
        return;
    state.has_owner = true;
    m_fleet.control_replica(index, "leaving");
    harness::pause(drain_ms);
    m_fleet.unlist_replica(index);
    harness::pause(lapse_return_ms);
    m_fleet.list_replica(index, "ready");
    harness::pause(lapse_return_ms);
    m_fleet.unlist_replica(index);
    harness::pause(drain_ms);
    auto const began = soak_clock::now();
    renew_replica(index, milliseconds(0));
    note_failure(began);
    state.has_owner = false;
}

void soak_run::kill_replica(std::size_t index, planned_fault const& fault)
{
    auto& state = m_replicas.at(index);
    if (state.has_owner)
        return;
    state.has_owner = true;
    m_fleet.replica(index).kill();
    harness::pause(to_int(fault.lasts));
    renew_replica(index, fault.lasts);
    state.has_owner = false;
}

void soak_run::renew_replica(std::size_t index, milliseconds old_entry_stays)
{
    auto const before = m_fleet.incarnation(index);
    if (auto const restarted = m_fleet.restart_replica(index); !restarted)
        m_record.findings.push_back("replica " + std::to_string(index) + ": " + restarted.error().to_string());
    m_fleet.list_replica(index, "ready");
    harness::pause(to_int(old_entry_stays));
    m_fleet.unlist(before);
}

void soak_run::spoil_replica(std::size_t index, char const* mode, milliseconds lasts)
{
    m_fleet.control_replica(index, mode);
    harness::pause(to_int(lasts));
    m_fleet.control_replica(index, "ok");
}

void soak_run::spoil_replica_link(std::size_t index, planned_fault const& fault)
{
    auto const began = soak_clock::now();
    spoil_link(m_fleet.replica_link(index), fault);
    m_record.link_troubles.push_back({ index, { began, soak_clock::now() } });
}

void soak_run::spoil_link(harness::fault_proxy& link, planned_fault const& fault)
{
    constexpr std::array<link_fault, 5> faults { link_fault::delayed, link_fault::reset, link_fault::cut_onward,
        link_fault::cut_back, link_fault::silent };
    constexpr std::array<int, 3> delays { 20, 100, 400 };
    // The lower bits have chosen the link.
    auto const drawn = fault.draw >> 32U;
    link.set_fault(faults.at(drawn % faults.size()), milliseconds(delays.at(drawn / faults.size() % delays.size())));
    harness::pause(to_int(fault.lasts));
    link.set_fault(link_fault::none);
}

void soak_run::spoil_store(char const* how, milliseconds lasts)
{
    m_fleet.control_store({ { how, true } });
    harness::pause(to_int(lasts));
    m_fleet.control_store({ { how, false } });
}

void soak_run::lapse_entries(milliseconds lasts)
{
    m_fleet.control_store({ { "down", true } });
    harness::pause(to_int(lasts));
    std::map<std::size_t, std::string> lapsed;
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        if (m_replicas.at(index).has_owner)
            continue;
        lapsed.emplace(index, m_fleet.incarnation(index));
        m_fleet.unlist_replica(index);
    }
    m_fleet.control_store({ { "down", false } });
    harness::pause(lapse_return_ms);
    for (auto const& [index, incarnation] : lapsed) {
        if (!m_replicas.at(index).has_owner && m_fleet.incarnation(index) == incarnation)
            m_fleet.list_replica(index, "ready");
    }
}

void soak_run::evacuate(planned_fault const& fault)
{
    std::string const domain = harness::hosted_fleet::domain_of_replica(fault.draw);
    if (++m_evacuations[domain] == 1)
        m_fleet.evacuate(domain);
    harness::pause(to_int(fault.lasts));
    if (--m_evacuations[domain] == 0)
        m_fleet.give_back(domain);
}

void soak_run::silence_connections(planned_fault const& fault)
{
    // The lower bits choose the link, the higher one its kind.
    auto const began = soak_clock::now();
    auto const replica = fault.draw % m_options.replicas;
    bool const is_replica_link = (fault.draw >> 32U) % 2 == 0;
    if (is_replica_link)
        m_fleet.replica_link(replica).silence_connections();
    else
        m_fleet.store_link(fault.draw % m_options.routers).silence_connections();
    // What was under way on them may still end badly for so long.
    harness::pause(drain_ms);
    if (is_replica_link)
        m_record.link_troubles.push_back({ replica, { began, soak_clock::now() } });
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
    harness::pause(evacuation_ms);
    auto const before = arrivals_in(domain);
    harness::pause(evacuation_ms / 2);
    if (auto const after = arrivals_in(domain); after != before)
        m_record.findings.push_back(std::to_string(after - before) + " requests reached an evacuated failure domain");
    m_fleet.give_back(domain);
    if (!harness::wait_until([&] { return arrivals_in(domain) > before; }))
        m_record.findings.emplace_back("a failure domain that was given back gets nothing");
}

void soak_run::change_configuration()
{
    // One at a time: a revision never follows a later one.
    std::unique_lock lock(m_declaring);
    auto const revision = m_revision + 1;
    m_fleet.declare(revision, { revision_prefix(revision) });
    m_revision = revision;
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
        harness::pause(poll_ms);
    }
}

void soak_run::probe_revisions(std::size_t router)
{
    std::uint64_t number = 0;
    while (!m_is_over) {
        harness::pause(probe_pause_ms);
        auto const life = m_routers.at(router).life;
        if (m_routers.at(router).has_owner || m_revision == 1)
            continue;
        auto const back = ++number % revisions_probed;
        if (m_revision < 2 + back)
            continue;
        auto const revision = m_revision - back;
        net::http_request const request { "GET", revision_prefix(revision),
            { { "Host", "shop.example" }, { "Authorization", "Bearer key-1" }, { "Shedhill-Deadline-Ms", "2000" },
                { "Shedhill-Request-Id", "probe-" + std::to_string(router) + "-" + std::to_string(number) } },
            {} };
        auto const answer = net::fetch(m_fleet.router(router).address("callers"), request, probe_limit);
        if (answer && answer->status == 200 && life == m_routers.at(router).life)
            m_record.revisions.push_back({ router, life, revision });
    }
}

void soak_run::heal_and_wait()
{
    auto const owned = [](process_state const& state) { return state.has_owner; };
    if (!harness::wait_until([&] { return std::ranges::none_of(m_routers, owned); }))
        m_record.findings.emplace_back("a router that was stopped does not end");
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
                auto const answer = m_fleet.ask(router, target_of(form), id);
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
                m_record.findings.push_back("more than a cold replica bears: " + incarnation);
                continue;
            }
            replica_event const written { incarnation, id, soak_clock::time_point(milliseconds(at_ms)) };
            if (event == "asked_rest")
                m_record.rests.push_back(written);
            if (event == "told_leaving")
                m_record.leavings.push_back(written);
            if (event == "arrived")
                m_record.arrivals.push_back(written);
            if (event != "ran" && event != "arrived")
                continue;
            auto& seen = m_record.replicas[id];
            ++(event == "ran" ? seen.runs : seen.arrivals);
            seen.method = method;
            seen.target = target;
        }
    }
}

result<soak_verdict> play_soak(soak_options const& options)
{
    auto const run = TRY(soak_run::start(options));
    auto const record = run->play();
    soak_verdict verdict { find_broken_promises(record), record.requests.size(), {} };
    for (auto const& request : record.requests) {
        auto const status = request.end == caller_end::whole ? " " + std::to_string(request.status) : std::string();
        ++verdict.ends[name_of(request.end) + status];
    }
    return verdict;
}

} // namespace shedhill::soak
