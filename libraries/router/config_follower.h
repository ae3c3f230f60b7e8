// SPDX-License-Identifier: BSD-2-Clause
// Keeps a router's configuration at the platform's head: polls the head row, reads what is missing, and never goes
// back.
#pragma once

#include "libraries/config/catalog.h"
#include "libraries/router/events.h"
#include "libraries/router/options.h"
#include "libraries/router/step_context.h"

namespace shedhill::router {

enum class follow_result {
    unchanged,
    advanced,
    // Endpoints were declared, changed or removed, so that pools must be worked out anew.
    advanced_endpoints,
};

class config_follower {
public:
    explicit config_follower(options const& settings)
        : m_settings(settings)
    {
    }

    [[nodiscard]] config::catalog const& catalog() const { return m_catalog; }
    // Whether a revision is in force that the platform, or a peer, has vouched for.
    [[nodiscard]] bool has_revision() const { return m_has_revision; }

    void tick(step_context& step);
    // Another process has shown a later revision: the head is read at once.
    void note_seen(revision seen, step_context& step);

    follow_result take(head_read const& read, step_context& step);
    follow_result take(changes_read const& read, step_context& step);
    // From the object store or from a peer.
    follow_result take_snapshot(std::string const& snapshot, step_context& step);
    void note_failed() { m_is_reading = false; }

private:
    void read_head_now(step_context& step);
    void read_missing(step_context& step);

    options const& m_settings;
    config::catalog m_catalog;
    bool m_has_revision { false };
    // At most one read of the platform is on its way.
    bool m_is_reading { false };
    bool m_is_head_due { false };
    revision m_head {};
    instant m_read_at {};
};

} // namespace shedhill::router
