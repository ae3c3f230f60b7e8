// SPDX-License-Identifier: BSD-2-Clause
// Sends offers, widens them while work waits, refreshes their levels and chooses the account for each grant.
#include "libraries/router/offer_planner.h"

#include <algorithm>
#include <utility>

namespace shedhill::router {

namespace {

// The most requests that one offer entry announces.
constexpr std::uint32_t max_offered_requests = 64;
// A new value contributes one part in this number to a moving average.
constexpr std::int64_t average_divisor = 8;
// The most accounts whose offers one tick widens. The others are due at the next tick.
constexpr std::size_t max_widened_per_tick = 16;
// A level is sent again once it has changed by this number of expected requests.
constexpr std::int64_t refresh_threshold_requests = 2;
// The most links that one tick checks for levels to send again.
constexpr std::size_t max_links_per_refresh = 8;
// The size in bytes of an offer's frame without its entries, and of one entry.
constexpr double offer_overhead_bytes = 64;
constexpr double offer_entry_bytes = 40;

} // namespace

void offer_planner::sync_offers(account_id account, step_context& step)
{
    auto* queue = m_queues.find(account);
    if (queue == nullptr)
        return;
    if (queue->waiting.empty()) {
        // Offers are not withdrawn: the next request can use them, and a grant without work ends one.
        queue->spread = 0;
        return;
    }
    if (queue->spread == 0) {
        queue->spread = m_settings.offer_spread;
        if (!std::exchange(queue->is_widening_scheduled, true))
            m_widen_due.insert({ step.now() + m_settings.offer_widen_interval, account });
    }
    struct candidate {
        link* to;
        bool is_offered;
        bool is_free;
        std::uint64_t tie_breaker;
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
        return left.is_free != right.is_free ? left.is_free : left.tie_breaker < right.tie_breaker;
    });
    for (auto const& [to, is_offered, is_free, tie_breaker] : candidates) {
        // While fewer endpoints have an offer of the account than requests wait, each free endpoint gets one regardless
        // of the spread.
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
    // The accounts with the lowest levels have priority for the free slots, so only they are offered at once. The
    // others follow as their offers widen.
    std::ranges::sort(accounts, [&](account_id left, account_id right) {
        auto const level_of = [&](account_id account) {
            return m_ledger.level(account, m_queues.find(account)->weight, step.now()).level;
        };
        auto const left_level = level_of(left);
        auto const right_level = level_of(right);
        return left_level != right_level ? left_level < right_level : left < right;
    });
    auto const max_count = static_cast<std::size_t>(to.free_slots) + m_settings.offer_spread;
    if (accounts.size() > max_count)
        accounts.resize(max_count);
    if (!accounts.empty())
        send_offer(to, accounts, step);
}

void offer_planner::tick(step_context& step)
{
    for (std::size_t widened = 0; widened < max_widened_per_tick; ++widened) {
        if (m_widen_due.empty() || m_widen_due.begin()->first > step.now())
            break;
        auto const account = m_widen_due.begin()->second;
        m_widen_due.erase(m_widen_due.begin());
        widen(account, step);
    }
    refresh_changed_levels(step);
}

void offer_planner::widen(account_id account, step_context& step)
{
    auto* queue = m_queues.find(account);
    queue->is_widening_scheduled = false;
    if (queue->waiting.empty())
        return;
    auto const reachable = m_links.subset(queue->pool).size();
    if (queue->spread < reachable) {
        ++queue->spread;
    } else if (m_links.widen(queue->pool, step.now())) {
        step.count(counter::links_widened);
        ++queue->spread;
    }
    sync_offers(account, step);
    // An account that is offered to every endpoint it can reach needs no further widening: grants and the states that
    // the endpoints announce trigger the next offers.
    queue->is_widening_scheduled = queue->spread < reachable || m_links.can_widen(queue->pool);
    if (queue->is_widening_scheduled)
        m_widen_due.insert({ step.now() + m_settings.offer_widen_interval, account });
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
        // Another account replaces the endpoint's choice only if its level is lower by more than one expected request.
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
        entry.waiting = static_cast<std::uint32_t>(std::min<std::size_t>(queue->waiting.size(), max_offered_requests));
    return entry;
}

std::optional<service_units> offer_planner::activation_floor(account_id account, instant now) const
{
    auto const* queue = m_queues.find(account);
    std::optional<std::int64_t> lowest_level;
    for (auto const other : m_queues.backlogged(queue->pool)) {
        if (other == account)
            continue;
        auto const level = m_ledger.level(other, m_queues.find(other)->weight, now).level;
        lowest_level = std::min(lowest_level.value_or(level), level);
    }
    if (!lowest_level)
        return std::nullopt;
    return service_units(*lowest_level * static_cast<std::int64_t>(queue->weight));
}

void offer_planner::record_finished(account_id account, service_units service, instant now)
{
    auto const [found, is_first] = m_averages.try_emplace(account);
    auto& averages = found->second;
    if (is_first)
        averages.cost = m_settings.initial_expected_cost;
    else
        averages.interval += (now - averages.finished_at - averages.interval) / average_divisor;
    averages.cost += service_units((service - averages.cost).value() / average_divisor);
    averages.finished_at = now;
}

service_units offer_planner::expected_cost(account_id account) const
{
    auto const found = m_averages.find(account);
    return found == m_averages.end() ? m_settings.initial_expected_cost : found->second.cost;
}

milliseconds offer_planner::expected_wait(account_id account) const
{
    auto const found = m_averages.find(account);
    if (found == m_averages.end())
        return milliseconds(0);
    return found->second.interval * static_cast<std::int64_t>(m_queues.waiting_count(account));
}

bool offer_planner::is_offerable(link const& to) const
{
    return to.phase == link_phase::up && !to.is_draining && to.required_revision <= m_catalog.current_revision();
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
    to.last_sent_revision = sent.revision;
    for (auto const account : accounts) {
        auto const entry = make_entry(account, to, step.now());
        to.offered[account] = { entry, entry.waiting };
        sent.entries.push_back(entry);
    }
    step.count(counter::offers_sent);
    step.send(to.connection, std::move(sent));
}

// Visits the links in turn as far as the byte budget allows. An offer without entries announces only the revision: an
// endpoint without work needs it as well, to refuse a router that is partitioned from the platform. A level that was
// not refreshed is corrected at the next grant: the router chooses the account again and sends the levels with the
// request.
void offer_planner::refresh_changed_levels(step_context& step)
{
    auto const seconds = static_cast<double>((step.now() - m_refresh_budget_updated_at).count()) / 1000.0;
    auto const rate = static_cast<double>(m_settings.refresh_bytes_per_second);
    m_refresh_budget_updated_at = step.now();
    m_refresh_budget = std::min(m_refresh_budget + rate * seconds, rate);
    auto& links = m_links.all();
    auto const max_count = std::min(links.size(), max_links_per_refresh);
    for (std::size_t visited = 0; visited < max_count && m_refresh_budget >= offer_overhead_bytes; ++visited) {
        auto next = links.upper_bound(m_last_refreshed_vm);
        if (next == links.end())
            next = links.begin();
        m_last_refreshed_vm = next->first;
        auto& to = next->second;
        auto const is_behind = to.last_sent_revision < m_catalog.current_revision();
        if (!is_offerable(to) || !to.pool || (to.offered.empty() && !is_behind))
            continue;
        auto const outdated = find_outdated_accounts(to, step.now());
        if (outdated.empty() && !is_behind)
            continue;
        m_refresh_budget -= offer_overhead_bytes + offer_entry_bytes * static_cast<double>(outdated.size());
        send_offer(to, outdated, step);
    }
}

std::vector<account_id> offer_planner::find_outdated_accounts(link const& to, instant now) const
{
    struct outdated_account {
        account_id account;
        std::int64_t distance;
    };
    std::vector<outdated_account> outdated;
    for (auto const& [account, offered] : to.offered) {
        auto const* queue = m_queues.find(account);
        if (queue->waiting.empty())
            continue;
        auto const level = m_ledger.level(account, queue->weight, now).level;
        auto const distance = std::abs(level - offered.entry.level) * static_cast<std::int64_t>(queue->weight);
        if (offered.remaining == 0 || distance > refresh_threshold_requests * expected_cost(account).value())
            outdated.push_back({ account, distance });
    }
    std::ranges::sort(outdated, std::greater {}, &outdated_account::distance);
    std::vector<account_id> accounts;
    accounts.reserve(outdated.size());
    for (auto const& [account, distance] : outdated)
        accounts.push_back(account);
    return accounts;
}

std::vector<wire::offer_entry> offer_planner::refresh_entries_for_run(
    account_id account, account_id granted, link& to, instant now) const
{
    std::vector<wire::offer_entry> entries;
    auto const add = [&](account_id added) {
        entries.push_back(make_entry(added, to, now));
        // An entry without waiting requests withdraws the account's offer.
        if (entries.back().waiting > 0)
            to.offered[added] = { entries.back(), entries.back().waiting };
        else
            to.offered.erase(added);
    };
    add(account);
    if (granted != account)
        add(granted);
    for (auto const other : find_outdated_accounts(to, now)) {
        if (entries.size() > m_settings.max_refreshes_per_run)
            break;
        if (other != account && other != granted)
            add(other);
    }
    return entries;
}

} // namespace shedhill::router
