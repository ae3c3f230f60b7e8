// SPDX-License-Identifier: BSD-2-Clause
// Implements the history by one record for each pool and version.
#include "libraries/dispatch/streams/version_history.h"

#include "base/hash.h"

#include <algorithm>

namespace shedhill::dispatch {

version_history::version_record* version_history::find(std::vector<version_record>& records, software_key software)
{
    auto const found = std::ranges::find(records, software, &version_record::software);
    return found == records.end() ? nullptr : &*found;
}

void version_history::apply_list(std::vector<listed_software> const& listed, instant now)
{
    auto const before = m_pools;
    for (auto& [pool, records] : m_pools) {
        for (auto& record : records)
            record.is_listed = false;
    }
    for (auto const& [pool, software] : listed) {
        auto const key = key_of(pool);
        auto& records = m_pools[key];
        auto* record = find(records, software);
        if (record == nullptr) {
            auto const known = before.find(key);
            bool const is_beside_others = m_observed_since && known != before.end()
                && std::ranges::any_of(known->second, &version_record::is_listed);
            record = &records.emplace_back();
            record->software = software;
            if (is_beside_others) {
                record->possible_from = now + settling_margin;
                record->settled_at = now + m_staleness_bound + settling_margin;
            }
        }
        record->is_listed = true;
        record->last_listed_at = now;
    }
    // The interval in which a version was listed ends when a list without it arrives.
    for (auto& [pool, records] : m_pools) {
        auto const known = before.find(pool);
        if (known == before.end())
            continue;
        for (auto const& earlier : known->second) {
            auto* const record = find(records, earlier.software);
            if (earlier.is_listed && record != nullptr && !record->is_listed)
                record->last_listed_at = now;
        }
    }
    if (!m_observed_since)
        m_observed_since = now;
    forget_old(now);
    update_summary();
}

void version_history::update_summary()
{
    m_has_one_version_each = true;
    for (auto const& [pool, records] : m_pools) {
        m_has_one_version_each &= records.size() == 1;
        for (auto const& record : records)
            m_settled_at = std::max(m_settled_at, record.settled_at);
    }
}

bool version_history::has_one_version(pool_name const& pool) const
{
    if (m_has_one_version_each)
        return true;
    auto const found = m_pools.find(key_of(pool));
    return found == m_pools.end() || found->second.size() == 1;
}

void version_history::forget_old(instant now)
{
    for (auto& [pool, records] : m_pools)
        std::erase_if(records, [&](version_record const& record) {
            return !record.is_listed && now - record.last_listed_at > m_lifetime;
        });
    std::erase_if(m_pools, [](auto const& entry) { return entry.second.empty(); });
}

bool version_history::may_begin(pool_name const& pool, software_key software, instant now) const
{
    auto const found = m_pools.find(key_of(pool));
    if (found == m_pools.end())
        return true;
    auto const record = std::ranges::find(found->second, software, &version_record::software);
    return record == found->second.end() || now >= record->settled_at;
}

void version_history::append_possible(pool_name const& pool, std::vector<software_key>& possible, instant now) const
{
    auto const found = m_pools.find(key_of(pool));
    if (found == m_pools.end())
        return;
    for (auto const& record : found->second) {
        bool const is_remembered = record.is_listed || now - record.last_listed_at <= m_lifetime;
        if (is_remembered && now >= record.possible_from)
            possible.push_back(record.software);
    }
}

bool version_history::is_complete(instant now) const { return observed(now) >= m_lifetime; }

milliseconds version_history::observed(instant now) const
{
    return m_observed_since ? now - *m_observed_since : milliseconds(0);
}

void version_history::merge(std::vector<version_sighting> const& sightings, milliseconds observed, instant now)
{
    // Without a list of its own the router cannot tell which of the versions are still listed.
    if (!m_observed_since || is_complete(now) || observed < m_lifetime)
        return;
    for (auto const& sighting : sightings) {
        auto& records = m_pools[sighting.pool];
        if (find(records, sighting.software) != nullptr)
            continue;
        auto& record = records.emplace_back();
        record.software = sighting.software;
        record.last_listed_at = now - sighting.listed_ago;
    }
    m_observed_since = std::min(*m_observed_since, now - observed);
    update_summary();
}

std::vector<version_sighting> version_history::sightings(instant now) const
{
    std::vector<version_sighting> result;
    for (auto const& [pool, records] : m_pools) {
        for (auto const& record : records)
            result.push_back(
                { pool, record.software, record.is_listed ? milliseconds(0) : now - record.last_listed_at });
    }
    return result;
}

} // namespace shedhill::dispatch
