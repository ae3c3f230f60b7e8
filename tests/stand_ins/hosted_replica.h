// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a replica on the users' platform: streams or answers whole, fenced by its incarnation, with faults.
#pragma once

#include "libraries/net/http.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <fstream>
#include <map>
#include <string>

namespace shedhill::stand_ins {

// After its start a replica bears so many requests in any second; more are written down as "over".
struct cold_start {
    std::chrono::milliseconds lasts { 0 };
    std::size_t limit { 0 };
};

class hosted_replica {
public:
    hosted_replica(
        std::string incarnation, std::chrono::milliseconds interval, std::string const& runs_file, cold_start cold);

    // Any path is a request; under /stream/ ten events are streamed, and under a path with /own/ each holds the
    // request's id; one under a path with /crash/ ends the process soon after it has begun to run. POST /control
    // {"mode": "ok" | "busy" | "cut" | "mute" | "fail" | "rest" | "rest_once" | "leaving"}; GET /counts: how often each
    // request id was run. One that rests turns all away and asks for two seconds without requests; "rest_once" the
    // first only. One that leaves says so in all answers from then on.
    void serve(net::http_exchange& exchange);

private:
    void run(net::http_exchange& exchange);
    void count_while_cold(net::http_request const& request);
    // What every answer to the request says, whatever else it says.
    [[nodiscard]] std::vector<net::http_header> usual_headers(net::http_request const& request);
    void turn_away(net::http_exchange& exchange);
    // Writes a line of the runs file: what happened, to which request, what was asked, and when (steady clock, ms).
    void note(char const* event, net::http_request const& request);
    // Ends the process: all its connections break, and its port is closed.
    [[noreturn]] void crash(net::http_request const& request);
    void stream(net::http_exchange& exchange, std::vector<net::http_header> const& headers);

    static constexpr int events_of_a_stream = 10;

    std::string m_incarnation;
    std::chrono::milliseconds m_interval;
    std::string m_mode { "ok" };
    bool m_is_leaving { false };
    cold_start m_cold;
    std::chrono::steady_clock::time_point m_started_at { std::chrono::steady_clock::now() };
    // Of the last second, the oldest first.
    std::deque<std::chrono::steady_clock::time_point> m_cold_arrivals;
    std::map<std::string, std::int64_t> m_runs;
    // Appended to line by line, so that it tells what a killed replica ran.
    std::ofstream m_runs_file;
};

} // namespace shedhill::stand_ins
