// SPDX-License-Identifier: BSD-2-Clause
// Implements the history by one record for each pool and version.
#include "libraries/dispatch/streams/version_history.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

version_history::version_record* version_history::find(std::vector<version_record>& records, software_key software)
{
    auto const found = std::ranges::find(records, software, &version_record::software);
    return found == records.end() ? nullptr : &*found;
}

void version_history::apply_list(std::vector<listed_software> const& listed, instant now)
{
    for (auto& [pool, records] : m_pools) {
        for (auto& record : records) {
            if (std::exchange(record.is_listed, false))
                record.last_listed_at = now;
        }
    }
    for (auto const& version : listed) {
        auto& records = m_pools[key_of(version.pool)];
        auto* record = find(records, version.software);
        if (record == nullptr) {
            bool const is_new = m_observed_since ? may_be_beside_others(records, now) : is_minority(version, listed);
            record = &records.emplace_back();
            record->software = version.software;
            if (is_new)
                record->settled_at = now + settling_time();
        }
        record->is_listed = true;
    }
    if (!m_observed_since) {
        m_observed_since = now;
        m_first_listed_at = now;
    }
    forget_old(now);
    update_summary();
    if (auto const history = std::exchange(m_unapplied_history, std::nullopt))
        restore(*history, now);
}

void version_history::restore(stored_history const& stored, instant now)
{
    if (!m_observed_since) {
        m_unapplied_history = stored;
        return;
    }
    if (!stored.is_complete || is_complete(now))
        return;
    for (auto& [pool, records] : m_pools) {
        if (std::ranges::find(stored.versions, pool, &stored_version::pool) == stored.versions.end())
            continue;
        for (auto& record : records) {
            stored_version const settled { pool, record.software, true };
            bool const is_settled = std::ranges::find(stored.versions, settled) != stored.versions.end();
            record.settled_at = is_settled ? now : m_first_listed_at + settling_time();
        }
    }
    for (auto const& [pool, software, is_settled] : stored.versions) {
        auto& records = m_pools[pool];
        if (find(records, software) != nullptr)
            continue;
        auto& record = records.emplace_back();
        record.software = software;
        record.last_listed_at = now;
    }
    m_observed_since = now - m_lifetime;
    update_summary();
}

std::vector<stored_version> version_history::stored(instant now) const
{
    // The row keeps what was stored until the first list arrives.
    if (m_unapplied_history)
        return m_unapplied_history->versions;
    std::vector<stored_version> result;
    for (auto const& [pool, records] : m_pools) {
        for (auto const& record : records)
            result.push_back({ pool, record.software, now >= record.settled_at });
    }
    std::ranges::sort(result);
    return result;
}

bool version_history::may_be_beside_others(std::vector<version_record> const& records, instant now) const
{
    // A router that has just started does not know what its first list no longer contained.
    return now - *m_observed_since < settling_time() || std::ranges::any_of(records, [&](version_record const& other) {
        return other.is_listed || now - other.last_listed_at < settling_time();
    });
}

bool version_history::is_minority(listed_software const& version, std::vector<listed_software> const& listed)
{
    return std::ranges::any_of(listed, [&](listed_software const& other) {
        return other.pool == version.pool && other.endpoints > version.endpoints;
    });
}

void version_history::update_summary()
{
    m_has_one_version_each = true;
    m_settled_at = {};
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
        if (record.is_listed || now - record.last_listed_at <= m_lifetime)
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
    if (!m_observed_since)
        return;
    bool const completes = !is_complete(now) && observed >= m_lifetime;
    for (auto const& sighting : sightings) {
        auto& records = m_pools[sighting.pool];
        if (auto* const known = find(records, sighting.software)) {
            known->settled_at = std::min(known->settled_at, now + sighting.settled_in);
        } else if (completes) {
            auto& record = records.emplace_back();
            record.software = sighting.software;
            record.last_listed_at = now - sighting.listed_ago;
        }
    }
    if (completes)
        m_observed_since = now - observed;
    forget_old(now);
    update_summary();
}

std::vector<version_sighting> version_history::sightings(instant now) const
{
    std::vector<version_sighting> result;
    for (auto const& [pool, records] : m_pools) {
        for (auto const& record : records)
            result.push_back({ pool, record.software, record.is_listed ? milliseconds(0) : now - record.last_listed_at,
                std::max(milliseconds(0), record.settled_at - now) });
    }
    return result;
}

} // namespace shedhill::dispatch
