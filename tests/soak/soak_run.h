// SPDX-License-Identifier: BSD-2-Clause
// Runs one soak: real processes on loopback, callers that send requests continuously, and the faults of a plan, which
// are injected from outside the processes.
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

    // Executes the plan, waits until all routers serve all routes again, and returns what was observed.
    soak_record execute();

private:
    // State of one process. Only the fault that owns the process restarts it; other faults may still send it signals.
    struct process_state {
        bool has_owner { false };
        std::uint64_t instance { 1 };
    };

    soak_run(soak_options options, harness::hosted_fleet fleet);

    void inject_fault(planned_fault const& fault);
    void stop_router(std::size_t index, int signal);
    void drain_replica(std::size_t index);
    void kill_replica(std::size_t index, planned_fault const& fault);
    // Makes one replica, or all replicas if the draw selects this, reject requests and ask for back-off.
    void back_off_replicas(planned_fault const& fault);
    // Lets a replica announce its leaving in its answers only. Its row is removed, returns and is removed again before
    // the replica ends.
    void announce_leaving(std::size_t index);
    void send_harmful_request(planned_fault const& fault);
    // Handles a replica that ended by itself: closes its port at once, removes its row and starts it as a new
    // incarnation.
    void restart_crashed_replica(std::size_t index);
    void pause_router(std::size_t index, milliseconds duration);
    static void pause_process(harness::child_process& process, milliseconds duration);
    void inject_replica_fault(std::size_t index, char const* mode, milliseconds duration);
    void inject_replica_link_fault(std::size_t index, planned_fault const& fault);
    static void inject_link_fault(harness::fault_proxy& link, planned_fault const& fault);
    void inject_store_fault(char const* command, milliseconds duration);
    void expire_entries(milliseconds duration);
    void evacuate(planned_fault const& fault);
    void silence_connections(planned_fault const& fault);
    // Checks after all faults that an evacuated failure domain receives no requests, and receives them again after the
    // evacuation has ended.
    void check_evacuation();
    [[nodiscard]] std::size_t arrivals_in(std::string const& domain) const;
    void change_configuration();

    // Starts the replica as a new incarnation and removes the entry of the previous one after the given time.
    void replace_replica(std::size_t index, milliseconds old_entry_lifetime);
    void watch_processes();
    void watch_replicas();
    void probe_revisions(std::size_t router);
    void wait_for_recovery();
    void read_runs();
    void record_failure(soak_clock::time_point from);

    soak_options m_options;
    harness::hosted_fleet m_fleet;
    soak_record m_record;
    std::vector<process_state> m_routers;
    std::vector<process_state> m_replicas;
    boost::fibers::mutex m_configuration_mutex;
    // Number of overlapping evacuations by failure domain.
    std::map<std::string, int> m_evacuations;
    std::uint64_t m_revision { 1 };
    bool m_is_over { false };
};

// The result of one run.
struct soak_result {
    // One line for each violated guarantee.
    std::vector<std::string> violations;
    std::size_t requests { 0 };
    // Number of requests by outcome and status.
    std::map<std::string, std::size_t> outcome_counts;
};

// Executes one soak run and checks its record.
result<soak_result> run_soak(soak_options const& options);

} // namespace shedhill::soak
