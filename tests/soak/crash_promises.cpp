// SPDX-License-Identifier: BSD-2-Clause
// Arrivals against the ends before them.
#include "tests/soak/crash_promises.h"

#include "tests/soak/soak_troubles.h"

#include <algorithm>
#include <map>
#include <set>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

constexpr std::size_t ends_to_know = 3;
constexpr std::size_t most_after = 3;
// By then every router that nothing has disturbed for as long has heard of the third end.
constexpr milliseconds in_touch_after { 3000 };

using harmful_by_id = std::map<std::string, harmful_request const*>;

// Ends under the request that its routers could see, in order of time.
std::vector<time_point> seen_ends(soak_record const& record, harmful_by_id const& sent, std::string const& target)
{
    std::vector<time_point> ends;
    for (auto const& crash : record.crashes) {
        auto const request = sent.find(crash.id);
        if (request == sent.end() || request->second->target != target)
            continue;
        if (had_trouble(record, request->second->router, crash.at, crash.at + in_touch_after)
            || had_link_trouble(record, crash.incarnation, crash.at, crash.at + in_touch_after))
            continue;
        ends.push_back(crash.at);
    }
    std::ranges::sort(ends);
    return ends;
}

} // namespace

std::vector<std::string> find_broken_crash_bounds(soak_record const& record)
{
    harmful_by_id sent;
    std::set<std::string> targets;
    for (auto const& request : record.harmful) {
        sent.emplace(request.id, &request);
        targets.insert(request.target);
    }
    std::vector<std::string> broken;
    for (auto const& target : targets) {
        auto const ends = seen_ends(record, sent, target);
        if (ends.size() < ends_to_know)
            continue;
        auto const from = ends[ends_to_know - 1] + in_touch_after;
        auto const count
            = static_cast<std::size_t>(std::ranges::count_if(record.arrivals, [&](replica_event const& arrival) {
                  auto const request = sent.find(arrival.id);
                  return request != sent.end() && request->second->target == target && arrival.at > from
                      && !had_trouble(record, request->second->router, arrival.at - in_touch_after, arrival.at);
              }));
        if (count > most_after)
            broken.push_back(
                target + " came to replicas " + std::to_string(count) + " times after the third had ended");
    }
    return broken;
}

} // namespace shedhill::soak
