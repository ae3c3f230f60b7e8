// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a plain service, which counts runs by idempotency key, or by target and body if there is no key.
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

    // Serves GET /runs (the number of runs by key) and POST /control {"mode": "ok" | "cut" | "slow", "delay_ms": N};
    // any other request is a run. One whose path ends with /empty/N is answered with status N and no body, and one
    // whose path ends with /endless without end until its connection is closed. In the mode "cut" the connection is
    // aborted after the run; "delay_ms" lengthens each run in every mode.
    void serve(net::http_exchange& exchange);

private:
    void run(net::http_exchange& exchange);
    static void answer_without_end(net::http_exchange& exchange);

    std::chrono::milliseconds m_work_time;
    std::string m_mode { "ok" };
    std::chrono::milliseconds m_delay { 0 };
    std::map<std::string, std::uint64_t> m_runs;
};

} // namespace shedhill::stand_ins
