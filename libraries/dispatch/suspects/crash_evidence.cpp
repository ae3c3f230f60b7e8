// SPDX-License-Identifier: BSD-2-Clause
// By start of an endpoint.
#include "libraries/dispatch/suspects/crash_evidence.h"

#include <algorithm>
#include <utility>

namespace shedhill::dispatch {

namespace {

// Attempts that are kept at most; what breaks off beyond that is not suspected.
constexpr std::size_t most_kept = 512;
// A process that ends may close its connections a moment before its port.
constexpr milliseconds first_probe_after { 10 };
constexpr milliseconds next_probe_after { 100 };
// Two in a row show that the endpoint lives.
constexpr std::uint32_t accepted_to_live = 2;
constexpr std::uint32_t most_unanswered = 3;

} // namespace

void crash_evidence::add(broken_endpoint const& endpoint, broken_attempt const& broken)
{
    if (m_kept >= most_kept)
        return;
    ++m_kept;
    auto& evidence = m_endpoints[endpoint.start];
    if (evidence.broken.empty()) {
        evidence.endpoint = endpoint;
        evidence.probe_at = broken.at + first_probe_after;
    }
    evidence.broken.push_back(broken);
}

std::uint8_t crash_evidence::presumed_crashes(request_identity const& request, std::uint16_t epoch) const
{
    std::uint8_t most = 0;
    for (auto const& [start, evidence] : m_endpoints) {
        for (auto const& broken : evidence.broken) {
            if (broken.request == request && broken.stamp.epoch == epoch)
                most = std::max(most, static_cast<std::uint8_t>(broken.stamp.crashes + 1));
        }
    }
    return most;
}

void crash_evidence::forget(request_identity const& request)
{
    for (auto& [start, evidence] : m_endpoints)
        m_kept -= std::erase_if(evidence.broken, [&](auto const& broken) { return broken.request == request; });
    std::erase_if(
        m_endpoints, [](auto const& known) { return known.second.broken.empty() && !known.second.is_probing; });
}

std::vector<crash_evidence::due_probe> crash_evidence::take_due(instant now)
{
    std::vector<due_probe> due;
    for (auto& [start, evidence] : m_endpoints) {
        if (evidence.is_probing || evidence.broken.empty() || now < evidence.probe_at)
            continue;
        evidence.is_probing = true;
        evidence.probed_at = now;
        due.push_back({ evidence.endpoint, evidence.broken.back().at });
    }
    return due;
}

crash_evidence::resolution crash_evidence::resolve(endpoint_key start, probe_outcome outcome, instant now)
{
    resolution resolved;
    auto const found = m_endpoints.find(start);
    if (found == m_endpoints.end())
        return resolved;
    auto& evidence = found->second;
    resolved.endpoint = evidence.endpoint.name;
    evidence.is_probing = false;
    evidence.probe_at = now + next_probe_after;
    if (outcome == probe_outcome::refused) {
        resolved.crashed = std::move(evidence.broken);
        m_kept -= resolved.crashed.size();
        m_endpoints.erase(found);
        return resolved;
    }
    auto& seen = outcome == probe_outcome::accepted ? evidence.accepted : evidence.unanswered;
    ++seen;
    bool const is_over = evidence.accepted >= accepted_to_live || evidence.unanswered >= most_unanswered;
    if (is_over) {
        // What broke off after the probe was sent is resolved by the next one.
        m_kept -= std::erase_if(evidence.broken, [&](auto const& broken) { return broken.at <= evidence.probed_at; });
        evidence.accepted = 0;
        evidence.unanswered = 0;
    }
    if (evidence.broken.empty())
        m_endpoints.erase(found);
    return resolved;
}

} // namespace shedhill::dispatch
