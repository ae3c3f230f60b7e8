// SPDX-License-Identifier: BSD-2-Clause
// Tracks which software versions of each pool may have begun a stream that a caller can still resume. While only one
// may have, every router knows the version of every stream without any message.
//
// This needs an agreement between routers that may see the list of endpoints at different times. A router relies on the
// history only if the store confirmed its list within the staleness bound, and a router begins streams at a new version
// only once it has listed that version for longer than the bound. So when the first stream of a version begins, no
// router still relies on a list without that version.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <compare>
#include <optional>
#include <unordered_map>
#include <vector>

namespace shedhill::dispatch {

// A version of a pool's software that at least one endpoint runs.
struct listed_software {
    pool_name pool;
    software_key software;
    std::size_t endpoints { 0 };
};

// A version that another router lists, or has listed within the lifetime of a stream.
struct version_sighting {
    pool_key pool;
    software_key software;
    // The time since an endpoint of the version was last listed; 0 if one is.
    milliseconds listed_ago { 0 };
    // The time after which streams may begin at the version.
    milliseconds settled_in { 0 };
};

// A version of a pool, as routers store it so that it outlives their processes.
struct stored_version {
    pool_key pool;
    software_key software;
    // Streams may begin at the version, as the router that stored it concluded.
    bool is_settled { true };

    auto operator<=>(stored_version const&) const = default;
};

// The versions that all routers had stored when this one started.
struct stored_history {
    std::vector<stored_version> versions;
    // Every router that has a row in the store states its versions there.
    bool is_complete { false };
};

class version_history {
public:
    // The time by which the first stream of a new version is later than the staleness bound, for the time that a
    // confirmation of the list takes to arrive.
    static constexpr milliseconds settling_margin { 500 };

    // `staleness_bound` is the same at all routers of a fleet.
    explicit version_history(milliseconds staleness_bound)
        : m_staleness_bound(staleness_bound)
    {
    }

    // Sets the time for which a caller may resume a stream after its begin.
    void set_stream_lifetime(milliseconds lifetime) { m_lifetime = lifetime; }
    [[nodiscard]] milliseconds stream_lifetime() const { return m_lifetime; }
    [[nodiscard]] milliseconds staleness_bound() const { return m_staleness_bound; }

    // Applies the versions of all endpoints that are listed now. The first list does not tell which of a pool's
    // versions are new, so streams begin only at the version of most endpoints until another router or the time tells.
    void apply_list(std::vector<listed_software> const& listed, instant now);
    // Whether a stream may begin at this version: not while it is new beside other listed versions of its pool.
    [[nodiscard]] bool may_begin(pool_name const& pool, software_key software, instant now) const;
    // Whether any version is still new, so that may_begin() excludes it.
    [[nodiscard]] bool is_settling(instant now) const { return now < m_settled_at; }
    // Whether every known pool has had one version only within the lifetime of a stream.
    [[nodiscard]] bool has_one_version_each() const { return m_has_one_version_each; }
    [[nodiscard]] bool has_one_version(pool_name const& pool) const;
    // Adds the versions of the pool at which streams that can still be resumed may have begun.
    void append_possible(pool_name const& pool, std::vector<software_key>& possible, instant now) const;
    // Whether the history reaches back for the lifetime of a stream, so that append_possible() omits no version.
    [[nodiscard]] bool is_complete(instant now) const;

    // Completes the history of a router that has just started by what another one observed for this time.
    void merge(std::vector<version_sighting> const& sightings, milliseconds observed, instant now);
    // Completes the history of this router, which has just started, by what all routers stored. A listed version of a
    // known pool is new unless one of them stored it as settled.
    void restore(stored_history const& stored, instant now);
    // Returns the versions that this router is to store, in their order.
    [[nodiscard]] std::vector<stored_version> stored(instant now) const;
    // Returns the history for a router that has just started. `observed()` tells how far back it reaches.
    [[nodiscard]] std::vector<version_sighting> sightings(instant now) const;
    [[nodiscard]] milliseconds observed(instant now) const;

private:
    struct version_record {
        software_key software;
        bool is_listed { false };
        // The time of the first list that no longer contained the version; unused while it is listed.
        instant last_listed_at {};
        // The time from which this router may begin streams at the version.
        instant settled_at {};
    };

    [[nodiscard]] milliseconds settling_time() const { return m_staleness_bound + settling_margin; }
    // Whether endpoints of other versions may still serve, though they may be listed no more.
    [[nodiscard]] bool may_be_beside_others(std::vector<version_record> const& records, instant now) const;
    // Whether another version of the pool has more listed endpoints.
    [[nodiscard]] static bool is_minority(listed_software const& version, std::vector<listed_software> const& listed);
    static version_record* find(std::vector<version_record>& records, software_key software);
    void forget_old(instant now);
    void update_summary();

    milliseconds m_staleness_bound;
    milliseconds m_lifetime { 30000 };
    std::unordered_map<pool_key, std::vector<version_record>> m_pools;
    // The time since which the history contains all versions; empty before the first list.
    std::optional<instant> m_observed_since;
    instant m_first_listed_at {};
    // The stored history; set only until the first list arrives.
    std::optional<stored_history> m_unapplied_history;
    // Derived from m_pools.
    bool m_has_one_version_each { true };
    instant m_settled_at {};
};

} // namespace shedhill::dispatch
