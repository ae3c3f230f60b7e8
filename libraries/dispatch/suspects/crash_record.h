// SPDX-License-Identifier: BSD-2-Clause
// What routers know, and tell each other, of a request that may crash the endpoints that run it.
#pragma once

#include "base/identifiers.h"
#include "base/units.h"

#include <compare>
#include <cstdint>
#include <functional>

namespace shedhill::dispatch {

// A request as it is known when it is sent again under another id. The team stands by itself: no team can choose a
// content whose hash is that of another team's request.
struct request_identity {
    team_key team;
    content_hash content;

    auto operator<=>(request_identity const&) const = default;
};

// What was known of a request when one of its attempts was sent.
struct crash_stamp {
    // Rises whenever the request is answered: what was counted before is void then.
    std::uint16_t epoch { 0 };
    // Crashes, one after another: each of an attempt that was sent when those before were known. Endpoints that are
    // lost in the same moment count once, whatever ran there.
    std::uint8_t crashes { 0 };

    auto operator<=>(crash_stamp const&) const = default;
};

// The greater stamp replaces the lesser one, so that records may come late, twice and in any order.
struct crash_record {
    request_identity request;
    crash_stamp stamp;
    // For how much longer it holds.
    milliseconds left { 0 };
    // For how much longer others wait for an attempt that is under way.
    milliseconds trial_left { 0 };
    // It was answered once while it was suspected.
    bool was_answered { false };
};

} // namespace shedhill::dispatch

template <>
struct std::hash<shedhill::dispatch::request_identity> {
    std::size_t operator()(shedhill::dispatch::request_identity const& request) const noexcept
    {
        // The content is a hash already.
        return static_cast<std::size_t>(request.content.value() ^ request.team.value());
    }
};
