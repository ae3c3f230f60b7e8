// SPDX-License-Identifier: BSD-2-Clause
// Keeps a bounded number of records, each with the first few instances that failed the request.
#include "libraries/dispatch/suspects/failing_requests.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

constexpr std::size_t max_records = 512;
// Further instances add nothing to the verdict on the request.
constexpr std::size_t max_instances = 4;
// Two faulty endpoints fail a request twice in a row; a third failure makes a fault of the request far more likely.
constexpr std::size_t instances_to_give_up = 3;
constexpr milliseconds record_lifetime { 10000 };
// If no attempt elsewhere has settled the question within this time, the instance's next failure counts again.
constexpr milliseconds repeated_failure_interval { 500 };

} // namespace

bool failing_requests::has_failed_elsewhere(request_identity const& request, endpoint_key instance) const
{
    auto const found = m_records.find(request);
    return found != m_records.end() && std::ranges::any_of(found->second.failed, [&](failed_instance const& failed) {
        return failed.instance != instance;
    });
}

bool failing_requests::is_failing_everywhere(request_identity const& request) const
{
    auto const found = m_records.find(request);
    return found != m_records.end() && found->second.failed.size() >= instances_to_give_up;
}

std::optional<endpoint_key> failing_requests::only_failed_at(request_identity const& request) const
{
    auto const found = m_records.find(request);
    if (found == m_records.end() || found->second.failed.size() != 1)
        return std::nullopt;
    return found->second.failed.front().instance;
}

failing_requests::failed_instance* failing_requests::find_or_add(
    request_identity const& request, endpoint_key instance, instant now)
{
    auto& entry = record_of(request);
    entry.last_failed_at = now;
    if (auto const found = std::ranges::find(entry.failed, instance, &failed_instance::instance);
        found != entry.failed.end())
        return &*found;
    if (entry.failed.size() >= max_instances)
        return nullptr;
    return &entry.failed.emplace_back(failed_instance { instance, {}, 0 });
}

failing_requests::finding failing_requests::record_failure(
    request_identity const& request, endpoint_key instance, instant now)
{
    auto* const failed = find_or_add(request, instance, now);
    if (failed == nullptr || has_failed_elsewhere(request, instance))
        return finding::caused_by_request;
    if (failed->counted > 0 && now - failed->counted_at < repeated_failure_interval)
        return finding::repeated;
    failed->counted_at = now;
    ++failed->counted;
    return finding::counts;
}

void failing_requests::record_request_fault(request_identity const& request, endpoint_key instance, instant now)
{
    (void)find_or_add(request, instance, now);
}

std::vector<endpoint_key> failing_requests::take_counted(request_identity const& request)
{
    std::vector<endpoint_key> counted;
    auto const found = m_records.find(request);
    if (found == m_records.end())
        return counted;
    for (auto& failed : found->second.failed)
        counted.insert(counted.end(), std::exchange(failed.counted, 0), failed.instance);
    return counted;
}

failing_requests::record& failing_requests::record_of(request_identity const& request)
{
    auto const found = m_records.find(request);
    if (found != m_records.end())
        return found->second;
    if (m_records.size() >= max_records) {
        m_records.erase(
            std::ranges::min_element(m_records, {}, [](auto const& entry) { return entry.second.last_failed_at; }));
    }
    return m_records[request];
}

void failing_requests::forget_old(instant now)
{
    std::erase_if(m_records, [now](auto const& entry) { return now - entry.second.last_failed_at >= record_lifetime; });
}

} // namespace shedhill::dispatch
