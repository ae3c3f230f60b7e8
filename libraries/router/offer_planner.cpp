// SPDX-License-Identifier: BSD-2-Clause
// Standing offers: few at first, more while work waits, and the second look at each grant.
#include "libraries/router/offer_planner.h"

#include <algorithm>
#include <utility>

namespace shedhill::router {

namespace {

constexpr std::uint32_t most_offered = 64;
// The share of a new value in a moving average, as a divisor.
constexpr std::int64_t pace_memory = 8;
// Accounts whose offers one tick widens; the others are due at the next.
constexpr std::size_t widened_each_tick = 16;
// A level is sent again once it has moved by this many expected requests.
constexpr std::int64_t refresh_after_requests = 2;
// Links that one tick looks at for levels to send again.
constexpr std::size_t links_looked_at = 8;
// What a frame with one offer takes besides its entries, and an entry.
constexpr double bytes_of_offer = 64;
constexpr double bytes_of_entry = 40;

} // namespace

void offer_planner::sync(account_id account, step_context& step)
{
    auto* queue = m_queues.find(account);
    if (queue == nullptr)
        return;
    if (queue->waiting.empty()) {
        // Offers are not withdrawn: work that comes next finds them standing, and a grant without work ends one.
        queue->spread = 0;
        return;
    }
    if (queue->spread == 0) {
        queue->spread = m_settings.offer_spread;
        if (!std::exchange(queue->is_widening, true))
            m_widen_due.insert({ step.now() + m_settings.widen_interval, account });
    }
    struct candidate {
        link* to;
        bool is_offered;
        bool is_free;
        std::uint64_t tie;
    };
    std::vector<candidate> candidates;
    std::size_t offered_count = 0;
    for (auto* to : m_links.subset(queue->pool)) {
        if (!is_offerable(*to) || !tier_at(*queue, *to))
            continue;
        auto const offered = to->offered.find(account);
        auto const is_offered = offered != to->offered.end() && offered->second.remaining > 0;
        offered_count += is_offered ? 1 : 0;
        candidates.push_back({ to, is_offered, to->free_slots > 0, step.draw().next() });
    }
    std::ranges::sort(candidates, [](candidate const& left, candidate const& right) {
        return left.is_free != right.is_free ? left.is_free : left.tie < right.tie;
    });
    for (auto const& [to, is_offered, is_free, tie] : candidates) {
        // More requests than free endpoints were offered: each free one gets its offer, whatever the spread.
        auto const is_due = offered_count < queue->spread || (is_free && offered_count < queue->waiting.size());
        if (is_offered || !is_due)
            continue;
        send_offer(*to, { account }, step);
        ++offered_count;
    }
}

void offer_planner::offer_all(link& to, step_context& step)
{
    if (!to.pool || !is_offerable(to))
        return;
    std::vector<account_id> accounts;
    for (auto const account : m_queues.backlogged(*to.pool)) {
        auto const offered = to.offered.find(account);
        auto const is_offered = offered != to.offered.end() && offered->second.remaining > 0;
        if (!is_offered && tier_at(*m_queues.find(account), to))
            accounts.push_back(account);
    }
    // An endpoint with free slots wants the accounts that are furthest behind; the others follow as offers widen.
    std::ranges::sort(accounts, [&](account_id left, account_id right) {
        auto const level_of = [&](account_id account) {
            return m_ledger.level(account, m_queues.find(account)->weight, step.now()).level;
        };
        auto const left_level = level_of(left);
        auto const right_level = level_of(right);
        return left_level != right_level ? left_level < right_level : left < right;
    });
    auto const most = static_cast<std::size_t>(to.free_slots) + m_settings.offer_spread;
    if (accounts.size() > most)
        accounts.resize(most);
    if (!accounts.empty())
        send_offer(to, accounts, step);
}

void offer_planner::tick(step_context& step)
{
    for (std::size_t widened = 0; widened < widened_each_tick; ++widened) {
        if (m_widen_due.empty() || m_widen_due.begin()->first > step.now())
            break;
        auto const account = m_widen_due.begin()->second;
        m_widen_due.erase(m_widen_due.begin());
        widen(account, step);
    }
    refresh_moved_levels(step);
}

void offer_planner::widen(account_id account, step_context& step)
{
    auto* queue = m_queues.find(account);
    queue->is_widening = false;
    if (queue->waiting.empty())
        return;
    auto const reachable = m_links.subset(queue->pool).size();
    if (queue->spread < reachable) {
        ++queue->spread;
    } else if (m_links.widen(queue->pool, step.now())) {
        step.count(counter::links_widened);
        ++queue->spread;
    }
    sync(account, step);
    // An account that is offered wherever it can be needs no further look: grants and endpoints' states do the rest.
    queue->is_widening = queue->spread < reachable || m_links.can_widen(queue->pool);
    if (queue->is_widening)
        m_widen_due.insert({ step.now() + m_settings.widen_interval, account });
}

std::optional<account_id> offer_planner::choose_for_grant(link const& from, account_id granted, instant now) const
{
    auto const* queue = m_queues.find(granted);
    if (queue == nullptr)
        return std::nullopt;
    auto const granted_tier = tier_at(*queue, from);
    std::optional<account_id> chosen;
    std::int64_t chosen_level = 0;
    if (!queue->waiting.empty() && granted_tier) {
        chosen = granted;
        // Only an account that is behind by more than one request is moved ahead: the endpoint's draw stands otherwise.
        chosen_level = m_ledger.level(granted, queue->weight, now).level
            - expected_cost(granted).value() / static_cast<std::int64_t>(queue->weight);
    }
    for (auto const account : m_queues.backlogged(queue->pool)) {
        auto const& other = *m_queues.find(account);
        auto const tier = tier_at(other, from);
        if (account == granted || !tier || (granted_tier && *tier > *granted_tier))
            continue;
        auto const level = m_ledger.level(account, other.weight, now).level;
        if (!chosen || level < chosen_level) {
            chosen = account;
            chosen_level = level;
        }
    }
    return chosen;
}

wire::offer_entry offer_planner::make_entry(account_id account, link const& to, instant now) const
{
    wire::offer_entry entry;
    entry.account = account;
    auto const* queue = m_queues.find(account);
    if (queue == nullptr)
        return entry;
    auto const [level, age] = m_ledger.level(account, queue->weight, now);
    entry.level = level;
    entry.level_age = age;
    entry.expected_cost = expected_cost(account);
    entry.weight = queue->weight;
    auto const tier = tier_at(*queue, to);
    entry.tier = tier.value_or(0);
    if (tier)
        entry.waiting = static_cast<std::uint32_t>(std::min<std::size_t>(queue->waiting.size(), most_offered));
    return entry;
}

std::optional<service_units> offer_planner::floor_for(account_id account, instant now) const
{
    auto const* queue = m_queues.find(account);
    std::optional<std::int64_t> least;
    for (auto const other : m_queues.backlogged(queue->pool)) {
        if (other == account)
            continue;
        auto const level = m_ledger.level(other, m_queues.find(other)->weight, now).level;
        least = std::min(least.value_or(level), level);
    }
    if (!least)
        return std::nullopt;
    return service_units(*least * static_cast<std::int64_t>(queue->weight));
}

void offer_planner::note_finished(account_id account, service_units service, instant now)
{
    auto const [found, is_first] = m_paces.try_emplace(account);
    auto& pace = found->second;
    if (is_first)
        pace.cost = m_settings.first_expected_cost;
    else
        pace.interval += (now - pace.finished_at - pace.interval) / pace_memory;
    pace.cost += service_units((service - pace.cost).value() / pace_memory);
    pace.finished_at = now;
}

service_units offer_planner::expected_cost(account_id account) const
{
    auto const found = m_paces.find(account);
    return found == m_paces.end() ? m_settings.first_expected_cost : found->second.cost;
}

milliseconds offer_planner::expected_wait(account_id account) const
{
    auto const found = m_paces.find(account);
    if (found == m_paces.end())
        return milliseconds(0);
    return found->second.interval * static_cast<std::int64_t>(m_queues.waiting_of(account));
}

bool offer_planner::is_offerable(link const& to) const
{
    return to.phase == link_phase::up && !to.is_draining && to.needed_revision <= m_catalog.current_revision();
}

std::optional<std::uint8_t> offer_planner::tier_at(account_queue const& queue, link const& to) const
{
    if (!to.pool || *to.pool != queue.pool)
        return std::nullopt;
    return m_reach.tier({ queue.team, queue.team_key }, { to.vm.endpoint, to.endpoint_key });
}

void offer_planner::send_offer(link& to, std::vector<account_id> const& accounts, step_context& step)
{
    wire::offer sent { m_catalog.current_revision(), {} };
    to.told_revision = sent.revision;
    for (auto const account : accounts) {
        auto const entry = make_entry(account, to, step.now());
        to.offered[account] = { entry, entry.waiting };
        sent.entries.push_back(entry);
    }
    step.count(counter::offers_sent);
    step.send(to.connection, std::move(sent));
}

// Goes round the links as far as the budget allows. An offer without entries shows the revision alone: an endpoint that
// no work reaches must know it too, to refuse a router that is cut off from the platform. A level that an endpoint has
// not been told is corrected when it grants: the router looks again, and sends it with the body.
void offer_planner::refresh_moved_levels(step_context& step)
{
    auto const seconds = static_cast<double>((step.now() - m_refreshed_at).count()) / 1000.0;
    auto const rate = static_cast<double>(m_settings.refresh_bytes_per_second);
    m_refreshed_at = step.now();
    m_refresh_budget = std::min(m_refresh_budget + rate * seconds, rate);
    auto& links = m_links.all();
    auto const most = std::min(links.size(), links_looked_at);
    for (std::size_t seen = 0; seen < most && m_refresh_budget >= bytes_of_offer; ++seen) {
        auto next = links.upper_bound(m_refreshed_vm);
        if (next == links.end())
            next = links.begin();
        m_refreshed_vm = next->first;
        auto& to = next->second;
        auto const is_behind = to.told_revision < m_catalog.current_revision();
        if (!is_offerable(to) || !to.pool || (to.offered.empty() && !is_behind))
            continue;
        auto const moved = moved_accounts(to, step.now());
        if (moved.empty() && !is_behind)
            continue;
        m_refresh_budget -= bytes_of_offer + bytes_of_entry * static_cast<double>(moved.size());
        send_offer(to, moved, step);
    }
}

std::vector<account_id> offer_planner::moved_accounts(link const& to, instant now) const
{
    struct moved_account {
        account_id account;
        std::int64_t distance;
    };
    std::vector<moved_account> moved;
    for (auto const& [account, offered] : to.offered) {
        auto const* queue = m_queues.find(account);
        if (queue->waiting.empty())
            continue;
        auto const level = m_ledger.level(account, queue->weight, now).level;
        auto const distance = std::abs(level - offered.entry.level) * static_cast<std::int64_t>(queue->weight);
        if (offered.remaining == 0 || distance > refresh_after_requests * expected_cost(account).value())
            moved.push_back({ account, distance });
    }
    std::ranges::sort(moved, std::greater {}, &moved_account::distance);
    std::vector<account_id> accounts;
    accounts.reserve(moved.size());
    for (auto const& [account, distance] : moved)
        accounts.push_back(account);
    return accounts;
}

std::vector<wire::offer_entry> offer_planner::refresh_with_run(
    account_id account, account_id granted, link& to, instant now) const
{
    std::vector<wire::offer_entry> entries;
    auto const add = [&](account_id added) {
        entries.push_back(make_entry(added, to, now));
        // An account that no longer waits is withdrawn by its empty entry.
        if (entries.back().waiting > 0)
            to.offered[added] = { entries.back(), entries.back().waiting };
        else
            to.offered.erase(added);
    };
    add(account);
    if (granted != account)
        add(granted);
    for (auto const other : moved_accounts(to, now)) {
        if (entries.size() > m_settings.refreshes_with_run)
            break;
        if (other != account && other != granted)
            add(other);
    }
    return entries;
}

} // namespace shedhill::router
