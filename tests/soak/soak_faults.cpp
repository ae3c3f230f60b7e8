// SPDX-License-Identifier: BSD-2-Clause
// What strikes in a run, and how it is healed.
#include "tests/soak/soak_run.h"
#include "tests/soak/soak_times.h"

#include <array>

namespace shedhill::soak {

namespace {

using harness::link_fault;

// After a leaving replica is listed as such, what it still serves ends within this time.
constexpr int drain_ms = 2500;
constexpr int lapse_return_ms = 1000;
// A replica that has ended is listed for so long, and starts again as long after.
constexpr int ended_row_lasts_ms = 1500;
// How often a harmful request comes, and the pauses between.
constexpr std::size_t harmful_returns = 12;
constexpr std::uint64_t least_return_ms = 50;
constexpr std::uint64_t return_spread_ms = 700;

} // namespace

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
    case fault_kind::harmful_request:
        return send_harmful_request(fault);
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

void soak_run::send_harmful_request(planned_fault const& fault)
{
    auto const began = soak_clock::now();
    auto const target = "/look/crash/" + std::to_string(fault.draw);
    for (std::size_t index = 0; index < harmful_returns; ++index) {
        auto const router = (fault.draw + index) % m_options.routers;
        auto const id = "crash-" + std::to_string(fault.draw) + "-" + std::to_string(index);
        m_record.harmful.push_back({ id, target, router });
        if (m_fleet.router(router).is_running())
            (void)m_fleet.ask(router, target, id);
        harness::pause(static_cast<int>(least_return_ms + (fault.draw >> index) % return_spread_ms));
    }
    note_failure(began);
}

void soak_run::revive_replica(std::size_t index)
{
    auto const began = soak_clock::now();
    auto& state = m_replicas.at(index);
    state.has_owner = true;
    m_fleet.replica_link(index).refuse_connections();
    harness::pause(ended_row_lasts_ms);
    m_fleet.unlist_replica(index);
    harness::pause(ended_row_lasts_ms);
    if (auto const taken = m_fleet.replica_link(index).take_connections(); !taken)
        m_record.findings.push_back("replica " + std::to_string(index) + ": " + taken.error().to_string());
    renew_replica(index, milliseconds(0));
    note_failure(began);
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

void soak_run::change_configuration()
{
    // One at a time: a revision never follows a later one.
    std::unique_lock lock(m_declaring);
    auto const revision = m_revision + 1;
    m_fleet.declare(revision, { revision_prefix(revision) });
    m_revision = revision;
}

} // namespace shedhill::soak
