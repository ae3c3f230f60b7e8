// SPDX-License-Identifier: BSD-2-Clause
// Distinguishes an outage of the store from an outage of this router's connection to it. Rows of live endpoints expire
// only in an outage of the store. While other routers reach the store, an entry that is missing from their reports
// belongs to an endpoint that has ended.
#pragma once

#include "libraries/dispatch/store/endpoint_roster.h"

namespace shedhill::dispatch {

// The state of this router's own watcher of the endpoint list.
struct own_store_availability {
    // The time at which the store last confirmed the list to this router.
    instant confirmed_at {};
    // The time at which the store last answered this router again after an outage; the epoch if there was none.
    instant recovered_at {};
    // Whether this router watches the list itself, or receives changes from routers that do.
    bool is_watched { true };
};

class store_outage_watch {
public:
    // Records when the store last confirmed the list to another router. Reports may arrive late and out of order.
    void record_peer_confirmation(instant confirmed_at, instant recovered_at = {});

    // Records that this router was paused for this time until now, in which it could hear nobody.
    void record_pause(milliseconds length);
    [[nodiscard]] milliseconds last_pause() const { return m_last_pause; }

    // Whether the store recently confirmed the list to another router.
    [[nodiscard]] bool is_confirmed_by_peers(instant now) const;
    [[nodiscard]] store_availability availability(own_store_availability const& own, instant now) const;

private:
    // Returns for how long no confirmation was heard since then, without the time in which none could be.
    [[nodiscard]] milliseconds silence_since(instant confirmed_at, instant now) const
    {
        return now - confirmed_at - m_paused_since_confirmation;
    }

    // The latest confirmation that another router reported.
    instant m_peers_confirmed_at {};
    // The time of the store's recovery according to the router that reported the latest confirmation.
    instant m_peers_recovered_at {};
    // The time since which the other routers' confirmations show no outage; the epoch if they never showed one.
    instant m_peers_confirming_since {};
    milliseconds m_last_pause { 0 };
    // The time for which this router was paused since the latest confirmation of another router.
    milliseconds m_paused_since_confirmation { 0 };
};

} // namespace shedhill::dispatch
