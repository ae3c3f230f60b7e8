// SPDX-License-Identifier: BSD-2-Clause
// Reconnection of links and the choice of the endpoint subset for each pool.
#include "libraries/router/link_table.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::router {

list_change link_table::update_vms(std::vector<table_service::vm_record> const& vms, step_context& step)
{
    if (vms == m_listed_vms)
        return list_change::unchanged;
    m_listed_vms = vms;
    m_routers.clear();
    std::set<vm_name> listed;
    for (auto const& vm : vms) {
        if (vm.name == m_settings.vm)
            continue;
        listed.insert(vm.name);
        auto& vm_link = m_links[vm.name];
        auto const has_address_changed = vm_link.vm.address != vm.address;
        vm_link.vm = vm;
        // The list lags behind the endpoint: it may add a drain, but it does not revoke one that the endpoint
        // announced.
        if (vm.state == table_service::vm_state::leaving)
            vm_link.is_draining = true;
        if (has_address_changed)
            vm_link.retry_at = step.now();
        if (vm.role == table_service::vm_role::router)
            m_routers.push_back(vm.name);
    }
    std::erase_if(m_links,
        [&](auto const& entry) { return !listed.contains(entry.first) && entry.second.phase == link_phase::idle; });
    for (auto& [name, vm_link] : m_links) {
        if (!listed.contains(name))
            vm_link.is_wanted = false;
    }
    return list_change::changed;
}

void link_table::connect_due(step_context& step)
{
    std::vector<vm_name> removed;
    for (auto const& name : m_pending) {
        auto* vm_link = find(name);
        if (vm_link == nullptr || !vm_link->is_wanted || vm_link->phase != link_phase::idle) {
            removed.push_back(name);
            continue;
        }
        if (step.now() < vm_link->retry_at)
            continue;
        vm_link->phase = link_phase::connecting;
        step.emit(open_connection { name, vm_link->vm.address });
        removed.push_back(name);
    }
    for (auto const& name : removed)
        m_pending.erase(name);
}

link* link_table::record_connected(connection_id connection, vm_name const& vm)
{
    auto const found = m_links.find(vm);
    if (found == m_links.end())
        return nullptr;
    auto& vm_link = found->second;
    if (vm_link.phase == link_phase::up)
        m_by_connection.erase(vm_link.connection);
    vm_link.phase = link_phase::up;
    vm_link.connection = connection;
    vm_link.backoff = milliseconds(0);
    vm_link.is_draining = vm_link.vm.state == table_service::vm_state::leaving;
    vm_link.required_revision = revision();
    vm_link.last_sent_revision = revision();
    vm_link.free_slots = 0;
    m_by_connection[connection] = vm;
    return &vm_link;
}

void link_table::record_disconnected(link& broken, step_context& step)
{
    m_by_connection.erase(broken.connection);
    broken.phase = link_phase::idle;
    broken.offered.clear();
    broken.running.clear();
    broken.free_slots = 0;
    broken.backoff = m_settings.min_reconnect_backoff;
    retry_after_backoff(broken, step);
    add_if_pending(broken.vm.name, broken);
}

void link_table::record_connect_failure(vm_name const& vm, step_context& step)
{
    auto* vm_link = find(vm);
    if (vm_link == nullptr || vm_link->phase != link_phase::connecting)
        return;
    vm_link->phase = link_phase::idle;
    vm_link->backoff = std::clamp(vm_link->backoff * 2, m_settings.min_reconnect_backoff, max_backoff());
    retry_after_backoff(*vm_link, step);
    add_if_pending(vm, *vm_link);
}

void link_table::record_incoming_connection(vm_name const& vm, instant now)
{
    auto* vm_link = find(vm);
    if (vm_link == nullptr || vm_link->phase != link_phase::idle || vm_link->backoff == milliseconds(0))
        return;
    vm_link->retry_at = now;
    add_if_pending(vm, *vm_link);
}

link* link_table::find(connection_id connection)
{
    auto const found = m_by_connection.find(connection);
    return found == m_by_connection.end() ? nullptr : find(found->second);
}

link* link_table::find(vm_name const& vm)
{
    auto const found = m_links.find(vm);
    return found == m_links.end() ? nullptr : &found->second;
}

std::vector<link*> link_table::subset(pool_name const& pool)
{
    std::vector<link*> links;
    auto const found = m_subsets.find(pool);
    if (found == m_subsets.end())
        return links;
    for (auto const& name : found->second) {
        if (auto* vm_link = find(name))
            links.push_back(vm_link);
    }
    return links;
}

bool link_table::widen(pool_name const& pool, instant now)
{
    auto& widened_at = m_widened_at[pool];
    if (!can_widen(pool) || now - widened_at < m_settings.subset_widen_interval)
        return false;
    widened_at = now;
    ++m_subset_sizes[pool];
    choose_subset(pool);
    return true;
}

bool link_table::can_widen(pool_name const& pool) const
{
    auto const vms = m_pool_vms.find(pool);
    auto const size = m_subset_sizes.find(pool);
    return vms != m_pool_vms.end() && size != m_subset_sizes.end()
        && size->second < std::min(vms->second.size(), m_settings.max_subset_size);
}

void link_table::set_pools(config::catalog const& catalog)
{
    m_pool_vms.clear();
    for (auto& [name, vm_link] : m_links) {
        vm_link.pool.reset();
        if (vm_link.vm.role != table_service::vm_role::endpoint)
            continue;
        auto const* declared = catalog.find_endpoint(vm_link.vm.endpoint);
        if (declared == nullptr)
            continue;
        vm_link.pool = declared->pool;
        vm_link.endpoint_key = stable_hash(declared->name.value());
        m_pool_vms[declared->pool].push_back(name);
    }
    m_subsets.clear();
    for (auto const& [pool, vms] : m_pool_vms)
        choose_subset(pool);
}

std::vector<vm_name> link_table::live_routers() const
{
    std::vector<vm_name> routers { m_settings.vm };
    for (auto const& name : m_routers) {
        auto const found = m_links.find(name);
        if (found == m_links.end())
            continue;
        auto const& vm_link = found->second;
        auto const is_failing = vm_link.phase == link_phase::idle && vm_link.backoff > milliseconds(0);
        if (vm_link.vm.state == table_service::vm_state::live && !is_failing)
            routers.push_back(name);
    }
    return routers;
}

void link_table::mark_wanted(vm_name const& vm)
{
    auto* vm_link = find(vm);
    if (vm_link == nullptr)
        return;
    vm_link->is_wanted = true;
    add_if_pending(vm, *vm_link);
}

std::vector<table_service::vm_record> link_table::records() const
{
    std::vector<table_service::vm_record> records;
    records.reserve(m_links.size());
    for (auto const& [name, vm_link] : m_links)
        records.push_back(vm_link.vm);
    return records;
}

void link_table::choose_subset(pool_name const& pool)
{
    auto ranked = rank_endpoints(m_pool_vms.at(pool));
    auto const size = m_subset_sizes.try_emplace(pool, m_settings.subset_size).first->second;
    if (ranked.size() > size)
        ranked.resize(size);
    for (auto const& name : ranked)
        mark_wanted(name);
    m_subsets[pool] = std::move(ranked);
}

// Limits the total rate of connection attempts: a few lost links are retried often, which detects the end of a
// partition early, and many lost links share the rate.
milliseconds link_table::max_backoff() const
{
    auto const shared = m_settings.reconnect_interval * static_cast<std::int64_t>(m_pending.size() + 1);
    return std::clamp(shared, m_settings.min_reconnect_backoff, m_settings.max_reconnect_backoff);
}

void link_table::retry_after_backoff(link& vm_link, step_context& step)
{
    auto const half = vm_link.backoff / 2;
    auto const jitter = milliseconds(step.draw().next_below(static_cast<std::size_t>(half.count()) + 1));
    vm_link.retry_at = step.now() + half + jitter;
}

void link_table::add_if_pending(vm_name const& vm, link const& vm_link)
{
    if (vm_link.is_wanted && vm_link.phase == link_phase::idle)
        m_pending.insert(vm);
}

// Ranks by rendezvous hashing within each failure domain and alternates between the domains, so that a subset keeps its
// endpoints of the other domains when one is lost.
std::vector<vm_name> link_table::rank_endpoints(std::vector<vm_name> const& candidates) const
{
    auto const key = stable_hash(m_settings.vm.value());
    std::map<failure_domain, std::vector<vm_name>> by_domain;
    for (auto const& name : candidates)
        by_domain[m_links.at(name).vm.domain].push_back(name);
    std::size_t largest_domain = 0;
    for (auto& [domain, names] : by_domain) {
        std::ranges::sort(names, [&](vm_name const& left, vm_name const& right) {
            return rendezvous_weight(key, left.value()) > rendezvous_weight(key, right.value());
        });
        largest_domain = std::max(largest_domain, names.size());
    }
    std::vector<vm_name> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t rank = 0; rank < largest_domain; ++rank) {
        for (auto const& [domain, names] : by_domain) {
            if (rank < names.size())
                ranked.push_back(names[rank]);
        }
    }
    return ranked;
}

} // namespace shedhill::router
