// SPDX-License-Identifier: BSD-2-Clause
// Fair choice among standing offers whose levels are more or less out of date.
#include "libraries/endpoint/demand_board.h"

#include <algorithm>
#include <boost/range/adaptor/reversed.hpp>
#include <limits>

namespace shedhill::endpoint {

namespace {

// Own charges older than this are in every router's reading, or the reading is of no use any more.
constexpr milliseconds charge_memory { 10000 };
// An account that lags by so many requests is chosen whatever was drawn.
constexpr std::int64_t lag_in_requests = 2;

} // namespace

void demand_board::put(connection_id connection, wire::offer_entry const& entry, instant now)
{
    if (entry.waiting > 0) {
        m_accounts[entry.account][connection] = { entry, now };
        return;
    }
    drop(connection, entry.account);
}

void demand_board::drop(connection_id connection, account_id account)
{
    auto const found = m_accounts.find(account);
    if (found == m_accounts.end())
        return;
    found->second.erase(connection);
    if (found->second.empty())
        m_accounts.erase(found);
}

void demand_board::drop(connection_id connection)
{
    for (auto& [account, offered] : m_accounts)
        offered.erase(connection);
    std::erase_if(m_accounts, [](auto const& entry) { return entry.second.empty(); });
}

std::optional<chosen_demand> demand_board::take_next(random_draw& draw, instant now)
{
    if (m_accounts.empty())
        return std::nullopt;
    auto const account = choose_account(draw, now);
    auto& offered = m_accounts.at(account);
    auto router = std::next(offered.begin(), static_cast<std::ptrdiff_t>(draw.below(offered.size())));
    chosen_demand const chosen { router->first, account, router->second.entry.expected_cost };
    if (--router->second.entry.waiting == 0)
        offered.erase(router);
    if (offered.empty())
        m_accounts.erase(account);
    return chosen;
}

void demand_board::charge(connection_id connection, account_id account, service_units amount, instant now)
{
    auto& log = m_charges[account];
    log.total += amount;
    while (!log.recent.empty() && now - log.recent.front().at > charge_memory)
        log.recent.pop_front();
    log.recent.push_back({ now, connection, amount });
}

service_units demand_board::total(account_id account) const
{
    auto const found = m_charges.find(account);
    return found == m_charges.end() ? service_units() : found->second.total;
}

std::int64_t demand_board::level_of(account_id account, standings const& offered, instant now) const
{
    auto const weight = static_cast<std::int64_t>(std::max(offered.begin()->second.entry.weight, 1U));
    if (m_settings.policy == choice_policy::own_counters)
        return total(account).value() / weight;
    if (m_settings.policy == choice_policy::perfect_counters)
        return m_settings.perfect_total(account).value() / weight;
    auto highest = std::numeric_limits<std::int64_t>::min();
    for (auto const& [connection, entered] : offered) {
        auto const level = m_settings.policy == choice_policy::least_level
            ? entered.entry.level
            : corrected_level(account, connection, entered, now);
        highest = std::max(highest, level);
    }
    return highest;
}

// Adds what this endpoint has given through other routers since this router's reading was made. What went through this
// router itself was in its own count already.
std::int64_t demand_board::corrected_level(
    account_id account, connection_id connection, standing const& offered, instant now) const
{
    auto const found = m_charges.find(account);
    if (found == m_charges.end())
        return offered.entry.level;
    auto const known_until = offered.received_at - offered.entry.level_age;
    service_units since;
    for (auto const& charge : boost::adaptors::reverse(found->second.recent)) {
        if (charge.at <= known_until || now - charge.at > charge_memory)
            break;
        auto const is_counted = charge.connection == connection && charge.at <= offered.received_at;
        if (!is_counted)
            since += charge.amount;
    }
    return offered.entry.level + since.value() / static_cast<std::int64_t>(std::max(offered.entry.weight, 1U));
}

account_id demand_board::choose_account(random_draw& draw, instant now)
{
    auto candidates = best_tier();
    auto const is_exact
        = m_settings.policy != choice_policy::corrected_draw || ++m_grants_since_exact >= m_settings.exact_every;
    if (is_exact)
        m_grants_since_exact = 0;
    else if (candidates.size() > m_settings.draw_size) {
        for (std::size_t index = 0; index < m_settings.draw_size; ++index)
            std::swap(candidates[index], candidates[index + draw.below(candidates.size() - index)]);
        candidates.resize(m_settings.draw_size);
    }
    auto const level = [&](account_id account) { return level_of(account, m_accounts.at(account), now); };
    auto const drawn = *std::ranges::min_element(candidates, {}, level);
    if (is_exact)
        return drawn;
    // The draw keeps endpoints from all choosing the same account by the same old levels. Where one lags by many
    // requests, as after a partition, that is what they should do.
    auto const all = best_tier();
    auto const least = *std::ranges::min_element(all, {}, level);
    auto const request = m_accounts.at(least).begin()->second.entry.expected_cost.value();
    return level(drawn) - level(least) > lag_in_requests * request ? least : drawn;
}

std::vector<account_id> demand_board::best_tier() const
{
    auto const tier_of = [](standings const& offered) { return offered.begin()->second.entry.tier; };
    auto best = std::numeric_limits<std::uint8_t>::max();
    for (auto const& [account, offered] : m_accounts)
        best = std::min(best, tier_of(offered));
    std::vector<account_id> accounts;
    for (auto const& [account, offered] : m_accounts) {
        if (tier_of(offered) == best)
            accounts.push_back(account);
    }
    return accounts;
}

} // namespace shedhill::endpoint
