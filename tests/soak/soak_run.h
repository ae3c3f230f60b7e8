// SPDX-License-Identifier: BSD-2-Clause
// One soak run: real processes on loopback, callers that keep asking, and the faults of a plan from outside.
#pragma once

#include "tests/harness/hosted_fleet.h"
#include "tests/harness/parallel.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/soak_record.h"

#include <boost/fiber/mutex.hpp>
#include <map>
#include <memory>
#include <vector>

namespace shedhill::soak {

struct soak_options {
    plan_options plan;
    std::size_t routers { 3 };
    std::size_t replicas { 4 };
    std::size_t callers { 16 };
    // Failure domains of the routers.
    std::size_t domains { 1 };
    std::filesystem::path log_folder;
};

class soak_run {
public:
    // Starts the processes.
    static result<std::unique_ptr<soak_run>> start(soak_options const& options);

    // Plays the plan, heals everything, waits until all is served again, and returns what was seen.
    soak_record play();

private:
    // What strikes and restarts one process. Only the owner restarts it; others may send signals all the same.
    struct process_state {
        bool has_owner { false };
        std::uint64_t life { 1 };
    };

    soak_run(soak_options options, harness::hosted_fleet fleet);

    void strike(planned_fault const& fault);
    void stop_router(std::size_t index, int signal);
    void drain_replica(std::size_t index);
    void kill_replica(std::size_t index, planned_fault const& fault);
    // All replicas where the draw says so: their callers are refused then.
    void rest_replicas(planned_fault const& fault);
    // It says so in its answers alone; its row goes, comes back and goes again before it ends.
    void leave_by_answers(std::size_t index);
    void send_harmful_request(planned_fault const& fault);
    // Of a replica that has ended by itself: its port is closed at once, its row goes, and another start of it comes.
    void revive_replica(std::size_t index);
    void pause_router(std::size_t index, milliseconds lasts);
    static void pause_process(harness::child_process& process, milliseconds lasts);
    void spoil_replica(std::size_t index, char const* mode, milliseconds lasts);
    void spoil_replica_link(std::size_t index, planned_fault const& fault);
    static void spoil_link(harness::fault_proxy& link, planned_fault const& fault);
    void spoil_store(char const* how, milliseconds lasts);
    void lapse_entries(milliseconds lasts);
    void evacuate(planned_fault const& fault);
    void silence_connections(planned_fault const& fault);
    // After all faults: an evacuated failure domain gets nothing, and work again when it is given back.
    void check_evacuation();
    [[nodiscard]] std::size_t arrivals_in(std::string const& domain) const;
    void change_configuration();

    // Starts the replica as a new incarnation; the entry of the one before goes at once, or stays for a while.
    void renew_replica(std::size_t index, milliseconds old_entry_stays);
    void watch_processes();
    void watch_replicas();
    void probe_revisions(std::size_t router);
    void heal_and_wait();
    void read_runs();
    void note_failure(soak_clock::time_point from);

    soak_options m_options;
    harness::hosted_fleet m_fleet;
    soak_record m_record;
    std::vector<process_state> m_routers;
    std::vector<process_state> m_replicas;
    boost::fibers::mutex m_declaring;
    // Evacuations under way, by failure domain.
    std::map<std::string, int> m_evacuations;
    std::uint64_t m_revision { 1 };
    bool m_is_over { false };
};

// Plays one run and says what was broken, one line each.
struct soak_verdict {
    std::vector<std::string> broken;
    std::size_t requests { 0 };
    // Requests by how they ended and with which status.
    std::map<std::string, std::size_t> ends;
};

result<soak_verdict> play_soak(soak_options const& options);

} // namespace shedhill::soak
