// SPDX-License-Identifier: BSD-2-Clause
// The router's links to other processes: endpoint processes that run its requests, and routers that it exchanges
// service counters with. Observations of a link (a refusal, a broken connection, a drain notice) override the
// platform's VM list, which lags behind.
#pragma once

#include "libraries/config/catalog.h"
#include "libraries/router/options.h"
#include "libraries/router/step_context.h"
#include "libraries/table_service/records.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace shedhill::router {

// Whether a VM list differs from the previous one.
enum class list_change { unchanged, changed };

enum class link_phase { idle, connecting, up };

// The offer of one account that an endpoint last received.
struct offered_work {
    wire::offer_entry entry;
    // The number of offered requests that the endpoint has not granted yet.
    std::uint32_t remaining { 0 };
};

// The state of the connection to one VM.
struct link {
    table_service::vm_record vm;
    link_phase phase { link_phase::idle };
    connection_id connection {};
    // Whether the link is connected again when it breaks.
    bool is_wanted { false };
    // The earliest time of the next connection attempt.
    instant retry_at {};
    // The back-off after a lost connection or a failed attempt to connect; zero after a success.
    milliseconds backoff { 0 };

    // Endpoint links only: the pool of the endpoint by the configuration, and the endpoint's key in the reach cache.
    std::optional<pool_name> pool;
    std::uint64_t endpoint_key { 0 };

    // Endpoint links only. The members below are hints: the endpoint's process decides what it accepts.
    bool is_draining { false };
    // Set by a refusal for a stale revision: the endpoint receives no offers until this router reaches the revision.
    revision required_revision {};
    // The latest revision that was sent to the endpoint over this connection.
    revision last_sent_revision {};
    std::uint32_t free_slots { 0 };
    std::map<account_id, offered_work> offered;
    // Requests sent and not finished. If the link breaks, any of them may have run.
    std::set<request_number> running;
};

// The links to all VMs of the platform's list, and the subset of endpoints that this router connects to in each pool.
class link_table {
public:
    explicit link_table(options const& settings)
        : m_settings(settings)
    {
    }

    // Applies the platform's list. A VM that is no longer listed keeps its link while the link is connecting or up.
    list_change update_vms(std::vector<table_service::vm_record> const& vms, step_context& step);

    // Opens the connections that are wanted and whose back-off has ended.
    void connect_due(step_context& step);

    // Records that this router is connected to the VM. Returns the VM's link, or null if the VM is unknown.
    link* record_connected(connection_id connection, vm_name const& vm);
    // Resets the link and schedules the next connection attempt after the back-off.
    void record_disconnected(link& broken, step_context& step);
    void record_connect_failure(vm_name const& vm, step_context& step);

    // Records that the VM connected to this router. The VM is reachable again, so its back-off ends.
    void record_incoming_connection(vm_name const& vm, instant now);
    [[nodiscard]] link* find(connection_id connection);
    [[nodiscard]] link* find(vm_name const& vm);

    // Returns the endpoint links of a pool's subset, in order of rank.
    [[nodiscard]] std::vector<link*> subset(pool_name const& pool);
    // Adds one endpoint to the subset of a pool. Returns false, and changes nothing, if can_widen() is false or the
    // previous widening is less than options::subset_widen_interval ago.
    bool widen(pool_name const& pool, instant now);
    // Whether the subset of a pool is below its maximum size.
    [[nodiscard]] bool can_widen(pool_name const& pool) const;
    // Assigns the endpoints to their pools by the configuration and chooses the subsets again.
    void set_pools(config::catalog const& catalog);

    // Returns this router and the live routers of the platform's list, without those that cannot be reached.
    [[nodiscard]] std::vector<vm_name> live_routers() const;
    // Marks the link to the VM as wanted: connect_due() connects it now and whenever it has been lost.
    void mark_wanted(vm_name const& vm);
    // Returns the records of all VMs except this one.
    [[nodiscard]] std::vector<table_service::vm_record> records() const;
    [[nodiscard]] std::map<vm_name, link>& all() { return m_links; }

private:
    void choose_subset(pool_name const& pool);
    [[nodiscard]] milliseconds max_backoff() const;
    // Waits for half of the back-off and a random part of the other half, so that links do not reconnect at once.
    static void retry_after_backoff(link& vm_link, step_context& step);
    void add_if_pending(vm_name const& vm, link const& vm_link);
    [[nodiscard]] std::vector<vm_name> rank_endpoints(std::vector<vm_name> const& candidates) const;

    options const& m_settings;
    std::map<vm_name, link> m_links;
    std::unordered_map<connection_id, vm_name> m_by_connection;
    // The VMs of each pool's endpoints, by the configuration.
    std::map<pool_name, std::vector<vm_name>> m_pool_vms;
    std::map<pool_name, std::vector<vm_name>> m_subsets;
    std::map<pool_name, std::size_t> m_subset_sizes;
    std::map<pool_name, instant> m_widened_at;
    // The VM list that was applied last, and its routers.
    std::vector<table_service::vm_record> m_listed_vms;
    std::vector<vm_name> m_routers;
    // The wanted links that are idle; connect_due() visits only these.
    std::set<vm_name> m_pending;
};

} // namespace shedhill::router
