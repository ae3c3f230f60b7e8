// SPDX-License-Identifier: BSD-2-Clause
// Chooses accounts fairly by offers whose levels are out of date by different amounts.
#include "libraries/endpoint/demand_board.h"

#include <algorithm>
#include <boost/range/adaptor/reversed.hpp>
#include <limits>

namespace shedhill::endpoint {

namespace {

// Charges of this endpoint are stored for this time. Older ones are either included in every router's level, or the
// level is too old to be corrected.
constexpr milliseconds charge_retention { 10000 };
// An account whose level is lower than that of the drawn account by more than this number of expected requests is
// chosen instead.
constexpr std::int64_t max_lag_requests = 2;

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
    for (auto& [account, offers] : m_accounts)
        offers.erase(connection);
    std::erase_if(m_accounts, [](auto const& entry) { return entry.second.empty(); });
}

std::optional<chosen_demand> demand_board::take_next(random_generator& draw, instant now)
{
    if (m_accounts.empty())
        return std::nullopt;
    auto const account = choose_account(draw, now);
    auto& offers = m_accounts.at(account);
    auto router = std::next(offers.begin(), static_cast<std::ptrdiff_t>(draw.next_below(offers.size())));
    chosen_demand const chosen { router->first, account, router->second.entry.expected_cost };
    if (--router->second.entry.waiting == 0)
        offers.erase(router);
    if (offers.empty())
        m_accounts.erase(account);
    return chosen;
}

void demand_board::charge(connection_id connection, account_id account, service_units amount, instant now)
{
    auto& log = m_charges[account];
    log.total += amount;
    while (!log.recent.empty() && now - log.recent.front().at > charge_retention)
        log.recent.pop_front();
    log.recent.push_back({ now, connection, amount });
}

service_units demand_board::total(account_id account) const
{
    auto const found = m_charges.find(account);
    return found == m_charges.end() ? service_units() : found->second.total;
}

std::int64_t demand_board::level_of(account_id account, offers_by_router const& offers, instant now) const
{
    auto const weight = static_cast<std::int64_t>(std::max(offers.begin()->second.entry.weight, 1U));
    if (m_settings.policy == choice_policy::own_counters)
        return total(account).value() / weight;
    if (m_settings.policy == choice_policy::perfect_counters)
        return m_settings.perfect_total(account).value() / weight;
    auto highest = std::numeric_limits<std::int64_t>::min();
    for (auto const& [connection, offer] : offers) {
        auto const level = m_settings.policy == choice_policy::least_level
            ? offer.entry.level
            : corrected_level(account, connection, offer, now);
        highest = std::max(highest, level);
    }
    return highest;
}

// Adds the service that this endpoint has given since the router's level was computed. The router's own charges up to
// the time of the offer are included in its level.
std::int64_t demand_board::corrected_level(
    account_id account, connection_id connection, received_offer const& offer, instant now) const
{
    auto const found = m_charges.find(account);
    if (found == m_charges.end())
        return offer.entry.level;
    auto const level_as_of = offer.received_at - offer.entry.level_age;
    service_units unreported;
    for (auto const& charge : boost::adaptors::reverse(found->second.recent)) {
        if (charge.at <= level_as_of || now - charge.at > charge_retention)
            break;
        auto const is_in_level = charge.connection == connection && charge.at <= offer.received_at;
        if (!is_in_level)
            unreported += charge.amount;
    }
    return offer.entry.level + unreported.value() / static_cast<std::int64_t>(std::max(offer.entry.weight, 1U));
}

account_id demand_board::choose_account(random_generator& draw, instant now)
{
    auto candidates = best_tier();
    auto const is_exact = m_settings.policy != choice_policy::corrected_draw
        || ++m_grants_since_exact >= m_settings.grants_per_exact_choice;
    if (is_exact)
        m_grants_since_exact = 0;
    else if (candidates.size() > m_settings.draw_size) {
        for (std::size_t index = 0; index < m_settings.draw_size; ++index)
            std::swap(candidates[index], candidates[index + draw.next_below(candidates.size() - index)]);
        candidates.resize(m_settings.draw_size);
    }
    auto const level = [&](account_id account) { return level_of(account, m_accounts.at(account), now); };
    auto const drawn = *std::ranges::min_element(candidates, {}, level);
    if (is_exact)
        return drawn;
    // The draw prevents all endpoints from choosing the same account by the same outdated levels. An account that lags
    // far behind, as after a partition, is chosen by all of them.
    auto const all = best_tier();
    auto const lowest = *std::ranges::min_element(all, {}, level);
    auto const request = m_accounts.at(lowest).begin()->second.entry.expected_cost.value();
    return level(drawn) - level(lowest) > max_lag_requests * request ? lowest : drawn;
}

std::vector<account_id> demand_board::best_tier() const
{
    auto const tier_of = [](offers_by_router const& offers) { return offers.begin()->second.entry.tier; };
    auto best = std::numeric_limits<std::uint8_t>::max();
    for (auto const& [account, offers] : m_accounts)
        best = std::min(best, tier_of(offers));
    std::vector<account_id> accounts;
    for (auto const& [account, offers] : m_accounts) {
        if (tier_of(offers) == best)
            accounts.push_back(account);
    }
    return accounts;
}

} // namespace shedhill::endpoint
