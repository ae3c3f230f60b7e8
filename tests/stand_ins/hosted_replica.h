// SPDX-License-Identifier: BSD-2-Clause
// A stand-in for a replica on the users' platform, which streams answers or sends them at once, rejects requests for
// another incarnation, and has faults on demand.
#pragma once

#include "libraries/net/http.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <fstream>
#include <map>
#include <string>

namespace shedhill::stand_ins {

// The limit of a replica after its start: the number of requests in any second while it is cold. Requests above the
// limit are recorded as "over".
struct cold_start {
    std::chrono::milliseconds duration { 0 };
    std::size_t limit { 0 };
};

class hosted_replica {
public:
    hosted_replica(std::string incarnation, std::chrono::milliseconds interval, std::string const& runs_file,
        cold_start cold, std::string software);

    // Serves POST /control {"mode": "ok" | "busy" | "cut" | "mute" | "fail" | "odd_status" | "rest" | "rest_once" |
    // "leaving"} and GET /counts (the number of runs by request id). Any other path is a request: under /stream/ ten
    // events are streamed, a path with /own/ puts the request's id into each event, followed by "@" and the version of
    // the software if one is set; one with /crash/ ends the process soon after the run has started (with /inside/ or
    // /between/ after it has sent a stream's first event without framing, inside the second event or before it), one
    // with /unframed/ is answered with neither a length nor chunks, one with /failing/ is answered with status 500, one
    // with /aborting/ breaks off, and one with /endless/ is answered without end (a stream with /event/: with one event
    // without end) until its connection is closed. In the mode "busy" the replica rejects all requests as not executed,
    // in "cut" it aborts the connection before the answer is complete, in "mute" it does so after 20 seconds without
    // sending anything, in "fail" it answers with status 500, and in "odd_status" with 000. In the mode "rest" the
    // replica rejects all requests and asks for a back-off of two seconds; in "rest_once" it does so for one request.
    // After "leaving" all its answers announce that it leaves.
    void serve(net::http_exchange& exchange);

private:
    void run(net::http_exchange& exchange);
    void count_while_cold(net::http_request const& request);
    // Returns the headers that all answers have in common.
    [[nodiscard]] std::vector<net::http_header> common_headers(net::http_request const& request);
    void reject(net::http_exchange& exchange);
    // Writes a line of the runs file: event, request id, method, target, incarnation, and time (steady clock, ms).
    void record_event(char const* event, net::http_request const& request);
    // Ends the process, which breaks all its connections and closes its port.
    [[noreturn]] void crash(net::http_exchange& exchange);
    // Whether the request's path, or a part of its prompt whose id begins with "dead", crashes the replica.
    [[nodiscard]] static bool is_harmful(net::http_request const& request);
    // Sends the start of a stream that only the end of its connection marks.
    void begin_unframed_stream(net::http_exchange& exchange);
    // Answers until the connection is closed.
    static void answer_without_end(net::http_exchange& exchange, std::vector<net::http_header> const& headers);
    void stream(net::http_exchange& exchange, std::vector<net::http_header> const& headers);

    static constexpr int events_per_stream = 10;

    std::string m_incarnation;
    std::string m_software;
    std::chrono::milliseconds m_interval;
    std::string m_mode { "ok" };
    bool m_is_leaving { false };
    cold_start m_cold;
    std::chrono::steady_clock::time_point m_started_at { std::chrono::steady_clock::now() };
    // Arrivals of the last second, the oldest first.
    std::deque<std::chrono::steady_clock::time_point> m_cold_arrivals;
    std::map<std::string, std::int64_t> m_runs;
    // Flushed after each line, so that it is complete when the replica is killed.
    std::ofstream m_runs_file;
};

} // namespace shedhill::stand_ins
