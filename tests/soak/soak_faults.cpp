// SPDX-License-Identifier: BSD-2-Clause
// Injects the faults of a run and undoes them.
#include "tests/soak/soak_run.h"
#include "tests/soak/soak_times.h"

#include <array>

namespace shedhill::soak {

namespace {

using harness::link_fault;

// A leaving replica finishes its running requests within this time after it was listed as draining.
constexpr int drain_ms = 2500;
// Entries that expired are listed again after this time.
constexpr int relist_delay_ms = 1000;
// The entry of a crashed replica stays listed for this time; the replica restarts the same time later.
constexpr int crashed_entry_ms = 1500;
// How often a harmful request is sent, and the pauses between.
constexpr std::size_t harmful_repeats = 12;
constexpr std::uint64_t min_repeat_pause_ms = 50;
constexpr std::uint64_t repeat_pause_spread_ms = 700;

} // namespace

void soak_run::inject_fault(planned_fault const& fault)
{
    auto const router = fault.draw % m_options.routers;
    auto const replica = fault.draw % m_options.replicas;
    auto const started_at = soak_clock::now();
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
        pause_router(router, fault.duration);
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
        pause_process(m_fleet.replica(replica), fault.duration);
        break;
    case fault_kind::replica_busy:
        inject_replica_fault(replica, "busy", fault.duration);
        break;
    case fault_kind::replica_cuts:
        inject_replica_fault(replica, "cut", fault.duration);
        break;
    case fault_kind::replica_mute:
        inject_replica_fault(replica, "mute", fault.duration);
        break;
    case fault_kind::replica_fails:
        inject_replica_fault(replica, "fail", fault.duration);
        break;
    case fault_kind::replica_link:
        inject_replica_link_fault(replica, fault);
        break;
    case fault_kind::replica_rests:
        return back_off_replicas(fault);
    case fault_kind::replica_leaves:
        return announce_leaving(replica);
    case fault_kind::harmful_request:
        return send_harmful_request(fault);
    // Faults of the store excuse no lost request, so they are not recorded as failures.
    case fault_kind::store_pause:
        return pause_process(m_fleet.store(), fault.duration);
    case fault_kind::store_link:
        return inject_link_fault(m_fleet.store_link(router), fault);
    case fault_kind::store_down:
        return inject_store_fault("down", fault.duration);
    case fault_kind::store_forgets:
        return m_fleet.control_store({ { "forget", true } });
    case fault_kind::store_loses_answers:
        return inject_store_fault("lose", fault.duration);
    case fault_kind::entries_lapse:
        return expire_entries(fault.duration);
    case fault_kind::count:
        return;
    }
    record_failure(started_at);
}

void soak_run::record_failure(soak_clock::time_point from) { m_record.failures.push_back({ from, soak_clock::now() }); }

void soak_run::stop_router(std::size_t index, int signal)
{
    auto& state = m_routers.at(index);
    auto const started_at = soak_clock::now();
    m_fleet.router(index).send_signal(signal);
    if (state.has_owner)
        return;
    state.has_owner = true;
    while (!m_fleet.router(index).has_ended())
        harness::pause(poll_interval_ms);
    ++state.instance;
    if (auto const restarted = m_fleet.restart_router(index); !restarted)
        m_record.findings.push_back("router " + std::to_string(index) + ": " + restarted.error().to_string());
    m_record.router_disruptions.push_back({ index, { started_at, soak_clock::now() } });
    state.has_owner = false;
}

void soak_run::pause_router(std::size_t index, milliseconds duration)
{
    auto const started_at = soak_clock::now();
    pause_process(m_fleet.router(index), duration);
    m_record.router_disruptions.push_back({ index, { started_at, soak_clock::now() } });
}

void soak_run::pause_process(harness::child_process& process, milliseconds duration)
{
    process.send_signal(SIGSTOP);
    harness::pause(to_int(duration));
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
    auto const started_at = soak_clock::now();
    replace_replica(index, milliseconds(0));
    record_failure(started_at);
    state.has_owner = false;
}

void soak_run::back_off_replicas(planned_fault const& fault)
{
    // The lower bits of the draw select the replica.
    bool const is_all = (fault.draw >> 32U) % 3 == 0;
    harness::fiber_group backoff_fibers;
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        if (is_all || index == fault.draw % m_options.replicas)
            backoff_fibers.start(
                [this, index, duration = fault.duration] { inject_replica_fault(index, "rest", duration); });
    }
    backoff_fibers.join();
}

void soak_run::announce_leaving(std::size_t index)
{
    auto& state = m_replicas.at(index);
    if (state.has_owner)
        return;
    state.has_owner = true;
    m_fleet.control_replica(index, "leaving");
    harness::pause(drain_ms);
    m_fleet.unlist_replica(index);
    harness::pause(relist_delay_ms);
    m_fleet.list_replica(index, "ready");
    harness::pause(relist_delay_ms);
    m_fleet.unlist_replica(index);
    harness::pause(drain_ms);
    auto const started_at = soak_clock::now();
    replace_replica(index, milliseconds(0));
    record_failure(started_at);
    state.has_owner = false;
}

void soak_run::kill_replica(std::size_t index, planned_fault const& fault)
{
    auto& state = m_replicas.at(index);
    if (state.has_owner)
        return;
    state.has_owner = true;
    m_fleet.replica(index).kill();
    harness::pause(to_int(fault.duration));
    replace_replica(index, fault.duration);
    state.has_owner = false;
}

void soak_run::send_harmful_request(planned_fault const& fault)
{
    auto const started_at = soak_clock::now();
    // Each second series sends requests that differ in everything but one part of their prompts.
    bool const is_part = fault.draw % 2 == 1;
    auto const target = (is_part ? "/look/part/" : "/look/crash/") + std::to_string(fault.draw);
    for (std::size_t index = 0; index < harmful_repeats; ++index) {
        auto const router = (fault.draw + index) % m_options.routers;
        auto const id = "crash-" + std::to_string(fault.draw) + "-" + std::to_string(index);
        m_record.harmful_requests.push_back({ id, target, router });
        if (m_fleet.router(router).is_running()) {
            if (is_part)
                (void)m_fleet.send_prompt(router, target + "/" + std::to_string(index), id,
                    "a1:50,dead" + std::to_string(fault.draw) + ":20,b" + std::to_string(index) + ":10");
            else
                (void)m_fleet.send_request(router, target, id);
        }
        harness::pause(static_cast<int>(min_repeat_pause_ms + (fault.draw >> index) % repeat_pause_spread_ms));
    }
    record_failure(started_at);
}

void soak_run::restart_crashed_replica(std::size_t index)
{
    auto const started_at = soak_clock::now();
    auto& state = m_replicas.at(index);
    state.has_owner = true;
    m_fleet.replica_link(index).refuse_connections();
    harness::pause(crashed_entry_ms);
    m_fleet.unlist_replica(index);
    harness::pause(crashed_entry_ms);
    if (auto const accepted = m_fleet.replica_link(index).accept_connections(); !accepted)
        m_record.findings.push_back("replica " + std::to_string(index) + ": " + accepted.error().to_string());
    replace_replica(index, milliseconds(0));
    record_failure(started_at);
    state.has_owner = false;
}

void soak_run::replace_replica(std::size_t index, milliseconds old_entry_lifetime)
{
    auto const before = m_fleet.incarnation(index);
    if (auto const restarted = m_fleet.restart_replica(index); !restarted)
        m_record.findings.push_back("replica " + std::to_string(index) + ": " + restarted.error().to_string());
    m_fleet.list_replica(index, "ready");
    harness::pause(to_int(old_entry_lifetime));
    m_fleet.unlist(before);
}

void soak_run::inject_replica_fault(std::size_t index, char const* mode, milliseconds duration)
{
    m_fleet.control_replica(index, mode);
    harness::pause(to_int(duration));
    m_fleet.control_replica(index, "ok");
}

void soak_run::inject_replica_link_fault(std::size_t index, planned_fault const& fault)
{
    auto const started_at = soak_clock::now();
    inject_link_fault(m_fleet.replica_link(index), fault);
    m_record.link_disruptions.push_back({ index, { started_at, soak_clock::now() } });
}

void soak_run::inject_link_fault(harness::fault_proxy& link, planned_fault const& fault)
{
    constexpr std::array<link_fault, 5> faults { link_fault::delayed, link_fault::reset, link_fault::cut_to_target,
        link_fault::cut_from_target, link_fault::silent };
    constexpr std::array<int, 3> delays { 20, 100, 400 };
    // The lower bits of the draw select the link.
    auto const link_draw = fault.draw >> 32U;
    link.set_fault(
        faults.at(link_draw % faults.size()), milliseconds(delays.at(link_draw / faults.size() % delays.size())));
    harness::pause(to_int(fault.duration));
    link.set_fault(link_fault::none);
}

void soak_run::inject_store_fault(char const* command, milliseconds duration)
{
    m_fleet.control_store({ { command, true } });
    harness::pause(to_int(duration));
    m_fleet.control_store({ { command, false } });
}

void soak_run::expire_entries(milliseconds duration)
{
    m_fleet.control_store({ { "down", true } });
    harness::pause(to_int(duration));
    std::map<std::size_t, std::string> expired;
    for (std::size_t index = 0; index < m_options.replicas; ++index) {
        if (m_replicas.at(index).has_owner)
            continue;
        expired.emplace(index, m_fleet.incarnation(index));
        m_fleet.unlist_replica(index);
    }
    m_fleet.control_store({ { "down", false } });
    harness::pause(relist_delay_ms);
    for (auto const& [index, incarnation] : expired) {
        if (!m_replicas.at(index).has_owner && m_fleet.incarnation(index) == incarnation)
            m_fleet.list_replica(index, "ready");
    }
}

void soak_run::evacuate(planned_fault const& fault)
{
    std::string const domain = harness::hosted_fleet::domain_of_replica(fault.draw);
    if (++m_evacuations[domain] == 1)
        m_fleet.evacuate(domain);
    harness::pause(to_int(fault.duration));
    if (--m_evacuations[domain] == 0)
        m_fleet.end_evacuation(domain);
}

void soak_run::silence_connections(planned_fault const& fault)
{
    // The lower bits of the draw select the link, bit 32 its kind.
    auto const started_at = soak_clock::now();
    auto const replica = fault.draw % m_options.replicas;
    bool const is_replica_link = (fault.draw >> 32U) % 2 == 0;
    if (is_replica_link)
        m_fleet.replica_link(replica).silence_connections();
    else
        m_fleet.store_link(fault.draw % m_options.routers).silence_connections();
    // Requests that were in flight on the silenced connections may still fail during this time.
    harness::pause(drain_ms);
    if (is_replica_link)
        m_record.link_disruptions.push_back({ replica, { started_at, soak_clock::now() } });
}

void soak_run::change_configuration()
{
    // Declares one revision at a time, so that revisions only increase.
    std::unique_lock lock(m_configuration_mutex);
    auto const revision = m_revision + 1;
    m_fleet.declare_configuration(revision, { revision_prefix(revision) });
    m_revision = revision;
}

} // namespace shedhill::soak
