// SPDX-License-Identifier: BSD-2-Clause
// Keeps a bounded number of teams, each with one tally for each instance.
#include "libraries/dispatch/suspects/failing_teams.h"

namespace shedhill::dispatch {

namespace {

constexpr std::size_t max_teams = 64;
constexpr std::size_t max_instances = 64;
constexpr milliseconds record_lifetime { 10000 };
// The estimate starts as if this number of attempts with this number of failures were known: one failure tells little
// while nothing is known of other endpoints.
constexpr double prior_attempts = 2;
constexpr double prior_failures = 0.5;
// A tally is halved at this number of attempts, so that it follows changes.
constexpr double max_attempts = 64;

} // namespace

double failing_teams::expected_failure(team_requests const& requests, endpoint_key instance) const
{
    auto const found = m_records.find(requests);
    if (found == m_records.end())
        return 0;
    double failures = prior_failures;
    double attempts = prior_attempts;
    for (auto const& [other, outcomes] : found->second.by_instance) {
        if (other == instance)
            continue;
        failures += outcomes.failures;
        attempts += outcomes.attempts;
    }
    return failures / attempts;
}

void failing_teams::record_failure(
    team_requests const& requests, endpoint_key instance, attempt_verdict verdict, instant now)
{
    if (m_records.size() >= max_teams && !m_records.contains(requests))
        return;
    auto& entry = m_records[requests];
    entry.last_failed_at = now;
    add(entry, instance, penalty_of(verdict));
}

void failing_teams::record_answer(team_requests const& requests, endpoint_key instance)
{
    if (auto const found = m_records.find(requests); found != m_records.end())
        add(found->second, instance, penalty_of(attempt_verdict::good));
}

void failing_teams::add(record& entry, endpoint_key instance, double penalty)
{
    if (entry.by_instance.size() >= max_instances && !entry.by_instance.contains(instance))
        return;
    auto& outcomes = entry.by_instance[instance];
    if (outcomes.attempts >= max_attempts)
        outcomes = { outcomes.failures / 2, outcomes.attempts / 2 };
    outcomes.failures += penalty;
    ++outcomes.attempts;
}

void failing_teams::forget_old(instant now)
{
    std::erase_if(m_records, [now](auto const& entry) { return now - entry.second.last_failed_at >= record_lifetime; });
}

} // namespace shedhill::dispatch
