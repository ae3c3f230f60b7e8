// SPDX-License-Identifier: BSD-2-Clause
// Groups the evidence by endpoint instance and decides when to probe each instance.
#include "libraries/dispatch/suspects/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// Bounds the number of stored attempts. Further broken attempts raise no suspicion against their requests.
constexpr std::size_t max_attempts = 512;
// Closed answers leave the other half to attempts that broke off.
constexpr std::size_t max_attempts_with_closed_answers = max_attempts / 2;
// An ending process may close its connections shortly before its listening port.
constexpr milliseconds first_probe_after { 10 };
constexpr milliseconds next_probe_after { 100 };
// This number of accepted connections shows that the endpoint has not crashed.
constexpr std::uint32_t accepted_to_clear = 2;
// After this number of probes without an answer, the attempts are dropped and do not count as crashes.
constexpr std::uint32_t max_unanswered = 3;

} // namespace

void crash_evidence::add(broken_endpoint const& endpoint, broken_attempt const& broken)
{
    if (m_attempt_count >= (broken.is_closed_answer ? max_attempts_with_closed_answers : max_attempts))
        return;
    ++m_attempt_count;
    auto& evidence = m_endpoints[endpoint.instance];
    if (evidence.broken.empty()) {
        evidence.endpoint = endpoint;
        evidence.probe_at = broken.at + first_probe_after;
    }
    evidence.broken.push_back(broken);
}

std::uint8_t crash_evidence::presumed_crashes(request_identity const& request, std::uint16_t epoch) const
{
    std::uint8_t most = 0;
    for (auto const& [instance, evidence] : m_endpoints) {
        for (auto const& broken : evidence.broken) {
            bool const is_harmless = broken.is_presumed_harmless && broken.stamp.crashes == 0;
            if (!is_harmless && broken.request == request && broken.stamp.epoch == epoch)
                most = std::max(most, static_cast<std::uint8_t>(broken.stamp.crashes + 1));
        }
    }
    return most;
}

void crash_evidence::forget(request_identity const& request)
{
    for (auto& [instance, evidence] : m_endpoints)
        m_attempt_count
            -= std::erase_if(evidence.broken, [&](auto const& broken) { return broken.request == request; });
    std::erase_if(
        m_endpoints, [](auto const& entry) { return entry.second.broken.empty() && !entry.second.is_probing; });
}

std::vector<crash_evidence::due_probe> crash_evidence::take_due(instant now)
{
    std::vector<due_probe> due;
    for (auto& [instance, evidence] : m_endpoints) {
        if (evidence.is_probing || evidence.broken.empty() || now < evidence.probe_at)
            continue;
        evidence.is_probing = true;
        evidence.probed_at = now;
        due.push_back({ evidence.endpoint, evidence.broken.back().at });
    }
    return due;
}

crash_evidence::resolution crash_evidence::resolve(endpoint_key instance, probe_outcome outcome, instant now)
{
    resolution resolved;
    auto const found = m_endpoints.find(instance);
    if (found == m_endpoints.end())
        return resolved;
    auto& evidence = found->second;
    resolved.endpoint = evidence.endpoint.name;
    evidence.is_probing = false;
    evidence.probe_at = now + next_probe_after;
    if (outcome == probe_outcome::refused) {
        resolved.crashed = std::move(evidence.broken);
        m_attempt_count -= resolved.crashed.size();
        m_endpoints.erase(found);
        return resolved;
    }
    auto& count = outcome == probe_outcome::accepted ? evidence.accepted : evidence.unanswered;
    ++count;
    bool const is_resolved = evidence.accepted >= accepted_to_clear || evidence.unanswered >= max_unanswered;
    if (is_resolved) {
        bool const is_alive = outcome == probe_outcome::accepted;
        // The next probe resolves attempts that broke off after this probe was sent.
        m_attempt_count -= std::erase_if(evidence.broken, [&](auto const& broken) {
            bool const is_decided = broken.at <= evidence.probed_at;
            if (is_decided && is_alive && broken.is_closed_answer)
                resolved.answered.push_back(broken);
            return is_decided;
        });
        evidence.accepted = 0;
        evidence.unanswered = 0;
    }
    if (evidence.broken.empty())
        m_endpoints.erase(found);
    return resolved;
}

} // namespace shedhill::dispatch
