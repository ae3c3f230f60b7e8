// SPDX-License-Identifier: BSD-2-Clause
// Kept connections to endpoints. They belong to one start of an endpoint, so that an address that was taken over
// by another endpoint never gets a connection of the one before.
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

    // A kept connection that suits, or a new one.
    std::shared_ptr<relay::call_connection> take(
        endpoint_key instance, dispatch::connection_choice choice, instant now);
    void add_idle(endpoint_key instance, std::shared_ptr<relay::call_connection> connection);
    // Closes those that the endpoint will not keep much longer.
    void close_expired(instant now);

private:
    relay::event_loop& m_loop;
    // The one used last stands at the end.
    std::unordered_map<endpoint_key, std::vector<std::shared_ptr<relay::call_connection>>> m_idle;
};

} // namespace shedhill::daemon
