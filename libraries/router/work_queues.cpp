// SPDX-License-Identifier: BSD-2-Clause
// Updates the queues together with the index of those that are not empty.
#include "libraries/router/work_queues.h"

#include "base/hash.h"
#include "base/verify.h"

#include <algorithm>

namespace shedhill::router {

account_queue& work_queues::open(account_id account, team_name const& team, pool_name const& pool, std::uint32_t weight)
{
    auto& queue = m_queues[account];
    queue.team = team;
    queue.pool = pool;
    queue.weight = weight;
    queue.team_key = stable_hash(team.value());
    return queue;
}

account_queue* work_queues::find(account_id account)
{
    auto const found = m_queues.find(account);
    return found == m_queues.end() ? nullptr : &found->second;
}

account_queue const* work_queues::find(account_id account) const
{
    auto const found = m_queues.find(account);
    return found == m_queues.end() ? nullptr : &found->second;
}

void work_queues::push_back(account_id account, request_number request)
{
    auto& queue = m_queues[account];
    queue.waiting.push_back(request);
    ++m_total;
    update_backlog(account, queue);
}

void work_queues::push_front(account_id account, request_number request)
{
    auto& queue = m_queues[account];
    queue.waiting.push_front(request);
    ++m_total;
    update_backlog(account, queue);
}

void work_queues::remove(account_id account, request_number request)
{
    auto* queue = find(account);
    if (queue == nullptr)
        return;
    auto const found = std::ranges::find(queue->waiting, request);
    if (found == queue->waiting.end())
        return;
    queue->waiting.erase(found);
    --m_total;
    update_backlog(account, *queue);
}

request_number work_queues::pop_front(account_id account)
{
    auto* queue = find(account);
    verify(queue != nullptr && !queue->waiting.empty(), "a request is removed only from a queue that is not empty");
    auto const request = queue->waiting.front();
    queue->waiting.pop_front();
    --m_total;
    update_backlog(account, *queue);
    return request;
}

std::size_t work_queues::waiting_count(account_id account) const
{
    auto const* queue = find(account);
    return queue == nullptr ? 0 : queue->waiting.size();
}

std::set<account_id> const& work_queues::backlogged(pool_name const& pool) const
{
    static std::set<account_id> const none;
    auto const found = m_backlogged.find(pool);
    return found == m_backlogged.end() ? none : found->second;
}

std::vector<account_id> work_queues::all_backlogged() const
{
    std::vector<account_id> accounts;
    for (auto const& [pool, accounts_of_pool] : m_backlogged)
        accounts.insert(accounts.end(), accounts_of_pool.begin(), accounts_of_pool.end());
    return accounts;
}

void work_queues::update_backlog(account_id account, account_queue const& queue)
{
    auto& accounts_of_pool = m_backlogged[queue.pool];
    if (queue.waiting.empty())
        accounts_of_pool.erase(account);
    else
        accounts_of_pool.insert(account);
}

} // namespace shedhill::router
