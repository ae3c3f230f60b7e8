// SPDX-License-Identifier: BSD-2-Clause
// Detects outages by the gaps between confirmations.
#include "libraries/dispatch/store/store_outage_watch.h"

#include <algorithm>

namespace shedhill::dispatch {

namespace {

// The store confirms the list to each watcher at least every 2.2 s: the poll interval plus the wait of a long poll.
constexpr milliseconds max_usual_gap { 2300 };
// The store counts as unavailable after this time without a confirmation to any router: the gap above plus the delay of
// the reports.
constexpr milliseconds outage_threshold { 2500 };

} // namespace

void store_outage_watch::record_pause(milliseconds length)
{
    m_last_pause = length;
    m_paused_since_confirmation += length;
}

void store_outage_watch::record_peer_confirmation(instant confirmed_at, instant recovered_at)
{
    if (confirmed_at <= m_peers_confirmed_at)
        return;
    if (m_peers_confirmed_at != instant {} && silence_since(m_peers_confirmed_at, confirmed_at) > max_usual_gap)
        m_peers_confirming_since = confirmed_at;
    m_paused_since_confirmation = milliseconds(0);
    m_peers_confirmed_at = confirmed_at;
    m_peers_recovered_at = recovered_at;
}

bool store_outage_watch::is_confirmed_by_peers(instant now) const
{
    return m_peers_confirmed_at != instant {} && silence_since(m_peers_confirmed_at, now) < outage_threshold;
}

store_availability store_outage_watch::availability(own_store_availability const& own, instant now) const
{
    auto const confirmed_at = std::max(own.confirmed_at, m_peers_confirmed_at);
    store_availability result { silence_since(confirmed_at, now) >= outage_threshold, own.recovered_at };
    if (!is_confirmed_by_peers(now))
        return result;
    if (!own.is_watched)
        result.recovered_at = std::max(m_peers_recovered_at, m_peers_confirming_since);
    else if (own.confirmed_at < m_peers_confirming_since)
        // The other routers report the recovery before the store answers this router's own call.
        result.recovered_at = m_peers_confirming_since;
    else
        result.recovered_at = std::min(result.recovered_at, m_peers_confirming_since);
    return result;
}

} // namespace shedhill::dispatch
