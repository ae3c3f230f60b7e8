// SPDX-License-Identifier: BSD-2-Clause
// The queues of waiting requests, one for each account.
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

// The queue of one account and the state of its offers.
struct account_queue {
    team_name team;
    pool_name pool;
    std::uint32_t weight { 1 };
    std::deque<request_number> waiting;
    // The number of endpoints that the account is to be offered to; zero while no request waits.
    std::size_t spread { 0 };
    // Whether the planner has scheduled a widening of the account's offers.
    bool is_widening_scheduled { false };
    // The team's key in the reach cache: the stable_hash of its name.
    std::uint64_t team_key { 0 };
};

// All queues of a router, with an index of those that are not empty.
class work_queues {
public:
    // Creates the queue of the account if it does not exist, and updates its team, pool and weight.
    account_queue& open(account_id account, team_name const& team, pool_name const& pool, std::uint32_t weight);
    [[nodiscard]] account_queue* find(account_id account);
    [[nodiscard]] account_queue const* find(account_id account) const;

    void push_back(account_id account, request_number request);
    // Inserts a request that is to be sent again at the head of its queue.
    void push_front(account_id account, request_number request);
    void remove(account_id account, request_number request);
    // Removes the first request. The queue must not be empty.
    request_number pop_front(account_id account);

    [[nodiscard]] std::size_t waiting_count(account_id account) const;
    [[nodiscard]] std::size_t total() const { return m_total; }
    // Returns the accounts of a pool whose queues are not empty.
    [[nodiscard]] std::set<account_id> const& backlogged(pool_name const& pool) const;
    [[nodiscard]] std::vector<account_id> all_backlogged() const;

private:
    void update_backlog(account_id account, account_queue const& queue);

    std::unordered_map<account_id, account_queue> m_queues;
    // Derived from m_queues: the accounts whose queue is not empty.
    std::map<pool_name, std::set<account_id>> m_backlogged;
    // Always the sum of the queues' sizes.
    std::size_t m_total { 0 };
};

} // namespace shedhill::router
