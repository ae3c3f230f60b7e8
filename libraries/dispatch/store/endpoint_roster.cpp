// SPDX-License-Identifier: BSD-2-Clause
// Retains entries whose rows expired during an outage of the store.
#include "libraries/dispatch/store/endpoint_roster.h"

#include <string_view>
#include <unordered_set>

namespace shedhill::dispatch {

namespace {

// The time after the store's recovery within which a live endpoint restores its row.
constexpr milliseconds max_restore_time { 1900 };

} // namespace

bool endpoint_roster::apply_list(std::vector<endpoint_entry> listed, store_availability availability, instant now)
{
    bool const has_outage = availability.is_unavailable
        || (availability.recovered_at != instant {} && now < availability.recovered_at + max_restore_time);
    auto const until = (availability.is_unavailable ? now : availability.recovered_at) + max_restore_time;
    auto const before = entries();
    std::unordered_set<std::string_view> listed_names;
    for (auto const& entry : listed)
        listed_names.insert(entry.name.value());
    m_examined_entries += listed.size();
    if (has_outage) {
        m_examined_entries += m_listed.size();
        for (auto const& entry : m_listed) {
            if (!entry.is_draining && !listed_names.contains(entry.name.value()))
                m_retained.try_emplace(entry.name, retained_entry { entry, until });
        }
    }
    // Entries that expired before the recovery are retained for the full time from the recovery on.
    if (has_outage && !availability.is_unavailable) {
        for (auto& [name, retained] : m_retained)
            retained.until = until;
    }
    m_examined_entries += m_retained.size();
    std::erase_if(m_retained, [&](auto const& retained) {
        return now >= retained.second.until || listed_names.contains(retained.first.value());
    });
    m_listed = std::move(listed);
    return entries() != before;
}

bool endpoint_roster::drop_lapsed(instant now)
{
    return std::erase_if(m_retained, [now](auto const& retained) { return now >= retained.second.until; }) > 0;
}

std::vector<endpoint_name> endpoint_roster::retained_names() const
{
    std::vector<endpoint_name> names;
    names.reserve(m_retained.size());
    for (auto const& [name, retained] : m_retained)
        names.push_back(name);
    return names;
}

std::vector<endpoint_entry> endpoint_roster::entries() const
{
    auto all = m_listed;
    for (auto const& [name, retained] : m_retained)
        all.push_back(retained.entry);
    return all;
}

} // namespace shedhill::dispatch
