// SPDX-License-Identifier: BSD-2-Clause
// Keeps a router's configuration at the platform's latest revision: polls the head row and reads the missing changes or
// a snapshot. The revision in force never decreases.
#pragma once

#include "libraries/config/catalog.h"
#include "libraries/router/events.h"
#include "libraries/router/options.h"
#include "libraries/router/step_context.h"

namespace shedhill::router {

// How a read changed the configuration in force.
enum class sync_result {
    unchanged,
    advanced,
    // Endpoints were declared, changed or removed: the pools have to be recomputed.
    advanced_endpoints,
};

class config_synchronizer {
public:
    explicit config_synchronizer(options const& settings)
        : m_settings(settings)
    {
    }

    [[nodiscard]] config::catalog const& catalog() const { return m_catalog; }
    // Whether the revision in force was confirmed as current by the platform's head row, or came in a snapshot.
    [[nodiscard]] bool has_revision() const { return m_has_revision; }

    // Starts a read of the head row if one is due.
    void tick(step_context& step);
    // Records a revision that another process announced. If it is later than the one in force, the next read of the
    // head row is due at once.
    void record_seen_revision(revision seen, step_context& step);

    // Reads the missing changes or the snapshot if the head is ahead of the revision in force.
    sync_result apply(head_read const& read, step_context& step);
    // Applies the changes in order of revision. A change to objects of another partner than its author has no effect,
    // but its revision counts.
    sync_result apply(changes_read const& read, step_context& step);
    // Loads a snapshot that was received from the object store or from a peer.
    sync_result apply_snapshot(std::string const& snapshot, step_context& step);
    // Lets the next tick read again after a failed read of the platform.
    void record_read_failure() { m_is_reading = false; }

private:
    void read_head_now(step_context& step);
    void read_missing(step_context& step);

    options const& m_settings;
    config::catalog m_catalog;
    bool m_has_revision { false };
    // At most one read of the platform is in flight.
    bool m_is_reading { false };
    bool m_is_head_due { false };
    // The latest revision that the head row has shown.
    revision m_head {};
    // The start of the latest read.
    instant m_read_at {};
};

} // namespace shedhill::router
