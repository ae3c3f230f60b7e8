// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a plain service: records each run by its idempotency key and body.
#pragma once

#include "libraries/net/http.h"

#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <string>

namespace shedhill::stand_ins {

class service {
public:
    explicit service(std::chrono::milliseconds work_time)
        : m_work_time(work_time)
    {
    }

    // Any request but GET /runs and POST /control {"mode": "ok" | "cut" | "slow", "delay_ms": N} is a run.
    void serve(net::http_exchange& exchange);

private:
    void run(net::http_exchange& exchange);

    std::chrono::milliseconds m_work_time;
    std::string m_mode { "ok" };
    std::chrono::milliseconds m_delay { 0 };
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace shedhill::stand_ins
