// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a replica on the users' platform: streams or answers whole, fenced by its incarnation, with faults.
#pragma once

#include "libraries/net/http.h"

#include <chrono>
#include <map>
#include <string>

namespace shedhill::stand_ins {

class hosted_replica {
public:
    explicit hosted_replica(std::string incarnation, std::chrono::milliseconds interval)
        : m_incarnation(std::move(incarnation))
        , m_interval(interval)
    {
    }

    // Any path is a request; under /stream/ ten events are streamed. POST /control {"mode": "ok" | "busy" | "cut" |
    // "mute"}; GET /counts: how often each request id was run.
    void serve(net::http_exchange& exchange);

private:
    void run(net::http_exchange& exchange);
    void stream(net::http_exchange& exchange, std::vector<net::http_header> const& headers);

    static constexpr int events_of_a_stream = 10;

    std::string m_incarnation;
    std::chrono::milliseconds m_interval;
    std::string m_mode { "ok" };
    std::map<std::string, std::int64_t> m_runs;
};

} // namespace shedhill::stand_ins
