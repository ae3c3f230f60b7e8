// SPDX-License-Identifier: BSD-2-Clause
// Probes whether endpoints still listen, by opening a connection to each and closing it at once.
#pragma once

#include "libraries/dispatch/suspects/crash_evidence.h"
#include "libraries/relay/socket.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace shedhill::relay {

class endpoint_probes {
public:
    using done_function = std::function<void(endpoint_key instance, dispatch::probe_outcome outcome)>;

    endpoint_probes(event_loop& loop, done_function done);
    ~endpoint_probes();
    endpoint_probes(endpoint_probes const&) = delete;
    endpoint_probes& operator=(endpoint_probes const&) = delete;

    // Starts a probe of an endpoint instance. Only one probe may be in progress for each instance.
    void start(endpoint_key instance, std::string const& address);
    // Ends probes that have timed out, with the outcome no_answer, and releases finished ones.
    void check_timeouts(instant now);

private:
    class probe;

    void finish(endpoint_key instance, dispatch::probe_outcome outcome);

    event_loop& m_loop;
    done_function m_done;
    std::unordered_map<endpoint_key, std::unique_ptr<probe>> m_probes;
};

} // namespace shedhill::relay
