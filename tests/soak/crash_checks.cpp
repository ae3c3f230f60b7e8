// SPDX-License-Identifier: BSD-2-Clause
// Compares the arrivals of a harmful request with the replica crashes that it caused before.
#include "tests/soak/crash_checks.h"

#include "tests/soak/soak_disruptions.h"

#include <algorithm>
#include <map>
#include <set>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

// Routers quarantine a request after this many crashes.
constexpr std::size_t crashes_before_quarantine = 3;
// Arrivals that are allowed after the routers have received the report of the last of these crashes.
constexpr std::size_t max_later_arrivals = 3;
// Every router that was undisturbed for this duration has received the report of a crash by the end of it.
constexpr milliseconds propagation_time { 3000 };

using harmful_requests_by_id = std::map<std::string, harmful_request const*>;

// Returns the times of the crashes caused by requests to the target, sorted. Crashes whose router or link was disrupted
// at the time are left out, since the router may not have observed them.
std::vector<time_point> visible_crash_times(
    soak_record const& record, harmful_requests_by_id const& sent, std::string const& target)
{
    std::vector<time_point> crash_times;
    for (auto const& crash : record.crashes) {
        auto const request = sent.find(crash.id);
        if (request == sent.end() || request->second->target != target)
            continue;
        if (was_router_disrupted(record, request->second->router, crash.at, crash.at + propagation_time)
            || was_link_disrupted(record, crash.incarnation, crash.at, crash.at + propagation_time))
            continue;
        crash_times.push_back(crash.at);
    }
    std::ranges::sort(crash_times);
    return crash_times;
}

} // namespace

std::vector<std::string> find_crash_violations(soak_record const& record)
{
    harmful_requests_by_id sent;
    std::set<std::string> targets;
    for (auto const& request : record.harmful_requests) {
        sent.emplace(request.id, &request);
        targets.insert(request.target);
    }
    std::vector<std::string> violations;
    for (auto const& target : targets) {
        auto const crash_times = visible_crash_times(record, sent, target);
        if (crash_times.size() < crashes_before_quarantine)
            continue;
        auto const from = crash_times[crashes_before_quarantine - 1] + propagation_time;
        auto const count
            = static_cast<std::size_t>(std::ranges::count_if(record.arrivals, [&](replica_event const& arrival) {
                  auto const request = sent.find(arrival.id);
                  return request != sent.end() && request->second->target == target && arrival.at > from
                      && !was_router_disrupted(
                          record, request->second->router, arrival.at - propagation_time, arrival.at);
              }));
        if (count > max_later_arrivals)
            violations.push_back(
                target + " reached replicas " + std::to_string(count) + " times after it had crashed three replicas");
    }
    return violations;
}

} // namespace shedhill::soak
