// SPDX-License-Identifier: BSD-2-Clause
// The records that routers keep and report to each other about requests that may crash the endpoints that run them.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace shedhill::dispatch {

// A request or a prompt part is quarantined after this number of successive crashes.
constexpr std::uint8_t crashes_to_quarantine = 3;

// Identifies a request that a caller sends again under another id, or a prompt part that requests share. The team is a
// separate member so that no team can craft content whose hash is that of another team's request.
struct request_identity {
    team_key team;
    content_hash content;

    auto operator<=>(request_identity const&) const = default;
};

// The state of a request's record when one of its attempts was sent.
struct crash_stamp {
    // Increases whenever the request is answered, which makes earlier counts invalid.
    std::uint16_t epoch { 0 };
    // The number of successive crashes: each belongs to an attempt that was sent after the endpoint of the one before
    // had ended. Endpoints that crash at the same time count once, whatever ran there.
    std::uint8_t crashes { 0 };

    auto operator<=>(crash_stamp const&) const = default;
};

// One request's record in a report. The greater stamp replaces the lesser one, so records may arrive late, repeatedly
// and in any order.
struct crash_record {
    request_identity request;
    crash_stamp stamp;
    // The remaining lifetime of the record.
    milliseconds left { 0 };
    // The remaining time for which other attempts of the request wait for the running one.
    milliseconds trial_left { 0 };
    // The request was answered at least once while it was suspected.
    bool was_answered { false };
    // The time since the endpoint of the last counted crash ended.
    milliseconds since_crash { 0 };
};

} // namespace shedhill::dispatch

template <>
struct std::hash<shedhill::dispatch::request_identity> {
    std::size_t operator()(shedhill::dispatch::request_identity const& request) const noexcept
    {
        // Both values are hashes already.
        return static_cast<std::size_t>(request.content.value() ^ request.team.value());
    }
};
