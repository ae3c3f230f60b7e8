// SPDX-License-Identifier: BSD-2-Clause
// The effective list of endpoints of a router, derived from the list in the store. The two differ only during and after
// an outage of the store: rows of live endpoints expire, because the endpoints cannot refresh them. Endpoints restore
// their rows within about two seconds after the store's recovery. The roster retains missing entries until then and
// removes those that are still missing after that.
#pragma once

#include "libraries/dispatch/types.h"

#include <cstdint>
#include <map>
#include <vector>

namespace shedhill::dispatch {

// The availability of the store, which decides whether a missing entry means a missing endpoint.
struct store_availability {
    // The store does not answer at present.
    bool is_unavailable { false };
    // The time of its last recovery from an outage long enough for rows to expire; the epoch if there was none.
    instant recovered_at {};
};

class endpoint_roster {
public:
    // Applies the list of the store, as received from the store or another router. Returns whether the effective list
    // has changed.
    bool apply_list(std::vector<endpoint_entry> listed, store_availability availability, instant now);
    // Removes the retained entries whose retention time is over. Returns whether there were any.
    bool drop_lapsed(instant now);

    [[nodiscard]] std::vector<endpoint_entry> entries() const;
    [[nodiscard]] std::size_t retained_count() const { return m_retained.size(); }
    [[nodiscard]] std::vector<endpoint_name> retained_names() const;
    // The number of entries that were examined to find out whether an endpoint is listed.
    [[nodiscard]] std::uint64_t examined_entries() const { return m_examined_entries; }

private:
    struct retained_entry {
        endpoint_entry entry;
        instant until {};
    };

    std::vector<endpoint_entry> m_listed;
    // Invariant: no retained entry is in m_listed, and none was draining when it was last listed.
    std::map<endpoint_name, retained_entry> m_retained;
    std::uint64_t m_examined_entries { 0 };
};

} // namespace shedhill::dispatch
