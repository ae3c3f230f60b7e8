// SPDX-License-Identifier: BSD-2-Clause
// Arrivals against what was said before.
#include "tests/soak/notice_promises.h"

#include "tests/soak/soak_troubles.h"

#include <algorithm>

namespace shedhill::soak {

namespace {

using time_point = soak_clock::time_point;

constexpr milliseconds rest_of_stand_in { 2000 };
// What was on its way when the replica answered.
constexpr milliseconds on_their_way { 500 };
constexpr std::ptrdiff_t most_in_rest = 2;
// Sent by its caller later than so long after the router passed on that the replica leaves.
constexpr milliseconds drain_time { 1000 };

using requests_by_id = std::map<std::string, caller_request const*>;

void check_rest(
    soak_record const& record, requests_by_id const& asked, replica_event const& rest, std::vector<std::string>& broken)
{
    auto const told = asked.find(rest.id);
    if (told == asked.end())
        return;
    auto const router = told->second->router;
    auto const from = rest.at + on_their_way;
    auto const to = rest.at + rest_of_stand_in;
    if (had_trouble(record, router, rest.at - on_their_way, to)
        || had_link_trouble(record, rest.incarnation, rest.at - on_their_way, to))
        return;
    auto const arrived = std::ranges::count_if(record.arrivals, [&](replica_event const& arrival) {
        if (arrival.incarnation != rest.incarnation || arrival.at <= from || arrival.at >= to)
            return false;
        auto const request = asked.find(arrival.id);
        return request != asked.end() && request->second->router == router;
    });
    if (arrived > most_in_rest)
        broken.push_back(rest.incarnation + " had asked router " + std::to_string(router) + " for rest by " + rest.id
            + ", and got " + std::to_string(arrived) + " requests");
}

void check_leaving(soak_record const& record, requests_by_id const& asked, replica_event const& leaving,
    std::vector<std::string>& broken)
{
    auto const told = asked.find(leaving.id);
    if (told == asked.end() || told->second->end != caller_end::whole)
        return;
    auto const& passed_on = *told->second;
    for (auto const& arrival : record.arrivals) {
        auto const request = asked.find(arrival.id);
        if (arrival.incarnation != leaving.incarnation || request == asked.end()
            || request->second->router != passed_on.router
            || request->second->asked_at <= passed_on.ended_at + drain_time)
            continue;
        if (!had_trouble(record, passed_on.router, passed_on.asked_at, arrival.at))
            broken.push_back(arrival.id + " came to " + leaving.incarnation + ", which had left for router "
                + std::to_string(passed_on.router) + " by " + leaving.id);
    }
}

} // namespace

std::vector<std::string> find_broken_notices(soak_record const& record)
{
    requests_by_id asked;
    for (auto const& request : record.requests)
        asked.emplace(request.id, &request);
    std::vector<std::string> broken;
    for (auto const& rest : record.rests)
        check_rest(record, asked, rest, broken);
    for (auto const& leaving : record.leavings)
        check_leaving(record, asked, leaving, broken);
    return broken;
}

} // namespace shedhill::soak
