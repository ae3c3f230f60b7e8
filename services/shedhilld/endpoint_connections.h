// SPDX-License-Identifier: BSD-2-Clause
// Keeps idle connections to endpoints for later requests. A connection belongs to one instance of an endpoint, so an
// endpoint that takes over an address never gets a connection of its predecessor.
#pragma once

#include "libraries/dispatch/effects.h"
#include "libraries/relay/call_connection.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace shedhill::daemon {

class endpoint_connections {
public:
    explicit endpoint_connections(relay::event_loop& loop)
        : m_loop(loop)
    {
    }

    // Returns the idle connection that was used last, or a new one if there is none. If the choice is `fresh`, an idle
    // connection is returned only if it was in use a short time ago.
    std::shared_ptr<relay::call_connection> take(
        endpoint_key instance, dispatch::connection_choice choice, instant now);
    void add_idle(endpoint_key instance, std::shared_ptr<relay::call_connection> connection);
    // Closes the connections that the endpoint is expected to close soon.
    void close_expired(instant now);

private:
    relay::event_loop& m_loop;
    // The connections of each instance, in the order of their last use.
    std::unordered_map<endpoint_key, std::vector<std::shared_ptr<relay::call_connection>>> m_idle;
};

} // namespace shedhill::daemon
