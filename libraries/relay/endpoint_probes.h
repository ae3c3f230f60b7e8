// SPDX-License-Identifier: BSD-2-Clause
// Connections that are opened to see whether an endpoint still listens, and closed at once.
#pragma once

#include "libraries/dispatch/suspects/crash_evidence.h"
#include "libraries/relay/socket.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace shedhill::relay {

class endpoint_probes {
public:
    using done_function = std::function<void(endpoint_key start, dispatch::probe_outcome outcome)>;

    endpoint_probes(event_loop& loop, done_function done);
    ~endpoint_probes();
    endpoint_probes(endpoint_probes const&) = delete;
    endpoint_probes& operator=(endpoint_probes const&) = delete;

    // One at a time for each start.
    void start(endpoint_key start, std::string const& address);
    // Ends those that have had no answer for too long.
    void check_time(instant now);

private:
    class probe;

    void finish(endpoint_key start, dispatch::probe_outcome outcome);

    event_loop& m_loop;
    done_function m_done;
    std::unordered_map<endpoint_key, std::unique_ptr<probe>> m_probes;
};

} // namespace shedhill::relay
