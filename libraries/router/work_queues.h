// SPDX-License-Identifier: BSD-2-Clause
// Waiting requests, one queue for each account.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace shedhill::router {

struct account_queue {
    team_name team;
    pool_name pool;
    std::uint32_t weight { 1 };
    std::deque<request_number> waiting;
    // How many endpoints the account is to be offered to; zero while nothing waits.
    std::size_t spread { 0 };
    // Whether the account stands among those whose offers are to be widened.
    bool is_widening { false };
    // The team's key in the reach cache.
    std::uint64_t team_key { 0 };
};

class work_queues {
public:
    account_queue& open(account_id account, team_name const& team, pool_name const& pool, std::uint32_t weight);
    [[nodiscard]] account_queue* find(account_id account);
    [[nodiscard]] account_queue const* find(account_id account) const;

    void push_back(account_id account, request_number request);
    // A request that was proved not run goes back to the head of its queue.
    void push_front(account_id account, request_number request);
    void remove(account_id account, request_number request);
    request_number pop_front(account_id account);

    [[nodiscard]] std::size_t waiting_of(account_id account) const;
    [[nodiscard]] std::size_t total() const { return m_total; }
    // The accounts of a pool with work waiting.
    [[nodiscard]] std::set<account_id> const& backlogged(pool_name const& pool) const;
    [[nodiscard]] std::vector<account_id> all_backlogged() const;

private:
    void note_size_change(account_id account, account_queue const& queue);

    std::unordered_map<account_id, account_queue> m_queues;
    // Derived from m_queues: the accounts whose queue is not empty.
    std::map<pool_name, std::set<account_id>> m_backlogged;
    // Always the sum of the queues' sizes.
    std::size_t m_total { 0 };
};

} // namespace shedhill::router
