// SPDX-License-Identifier: BSD-2-Clause
// Compares the arrivals at a replica with the notices that it sent before.
#include "tests/soak/notice_checks.h"

#include "tests/soak/soak_disruptions.h"

#include <algorithm>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

// The back-off that the stand-in for a replica asks for.
constexpr milliseconds backoff_time { 2000 };
// Requests that arrive within this time after the notice were already in flight.
constexpr milliseconds in_flight_time { 500 };
// Requests of one router that are allowed to arrive during the back-off.
constexpr std::ptrdiff_t max_during_backoff = 2;
// A router has drained a leaving replica this long after it forwarded the answer with the leaving notice; requests sent
// later must not reach the replica.
constexpr milliseconds drain_time { 1000 };

using requests_by_id = std::map<std::string, caller_request const*>;

void check_backoff(soak_record const& record, requests_by_id const& sent_requests, replica_event const& backoff,
    std::vector<std::string>& violations)
{
    auto const notified_request = sent_requests.find(backoff.id);
    if (notified_request == sent_requests.end())
        return;
    auto const router = notified_request->second->router;
    auto const from = backoff.at + in_flight_time;
    auto const to = backoff.at + backoff_time;
    if (was_router_disrupted(record, router, backoff.at - in_flight_time, to)
        || was_link_disrupted(record, backoff.incarnation, backoff.at - in_flight_time, to))
        return;
    auto const arrived = std::ranges::count_if(record.arrivals, [&](replica_event const& arrival) {
        if (arrival.incarnation != backoff.incarnation || arrival.at <= from || arrival.at >= to)
            return false;
        auto const request = sent_requests.find(arrival.id);
        return request != sent_requests.end() && request->second->router == router;
    });
    if (arrived > max_during_backoff)
        violations.push_back(backoff.incarnation + " had asked router " + std::to_string(router)
            + " to back off in the answer to " + backoff.id + ", and received " + std::to_string(arrived)
            + " requests meanwhile");
}

void check_leaving(soak_record const& record, requests_by_id const& sent_requests, replica_event const& leaving,
    std::vector<std::string>& violations)
{
    auto const notified_request = sent_requests.find(leaving.id);
    if (notified_request == sent_requests.end() || notified_request->second->end != caller_end::whole)
        return;
    auto const& forwarded_request = *notified_request->second;
    for (auto const& arrival : record.arrivals) {
        auto const request = sent_requests.find(arrival.id);
        if (arrival.incarnation != leaving.incarnation || request == sent_requests.end()
            || request->second->router != forwarded_request.router
            || request->second->sent_at <= forwarded_request.ended_at + drain_time)
            continue;
        if (!was_router_disrupted(record, forwarded_request.router, forwarded_request.sent_at, arrival.at))
            violations.push_back(arrival.id + " reached " + leaving.incarnation
                + ", which had announced its leaving to router " + std::to_string(forwarded_request.router)
                + " in the answer to " + leaving.id);
    }
}

} // namespace

std::vector<std::string> find_notice_violations(soak_record const& record)
{
    requests_by_id sent_requests;
    for (auto const& request : record.requests)
        sent_requests.emplace(request.id, &request);
    std::vector<std::string> violations;
    for (auto const& backoff : record.backoffs)
        check_backoff(record, sent_requests, backoff, violations);
    for (auto const& leaving : record.leavings)
        check_leaving(record, sent_requests, leaving, violations);
    return violations;
}

} // namespace shedhill::soak
