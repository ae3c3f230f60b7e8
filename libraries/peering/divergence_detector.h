// SPDX-License-Identifier: BSD-2-Clause
// Detects that this router's rows of a table differ from those of a router to which the store confirmed its rows more
// recently, although that router announces no newer version. No announcement would then correct this router's rows.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace shedhill::peering {

// The rows of one table, as a router announces them to the others.
struct announced_rows {
    // The version of the newest change that the rows may contain.
    std::uint64_t version { 0 };
    // The hash of the rows; empty if the announcement omits it.
    std::optional<std::uint64_t> digest {};
    // When the store last confirmed the rows.
    instant confirmed_at {};
};

class divergence_detector {
public:
    // The time for which rows have to differ. A router that received a change earlier than another one differs from it
    // for the time between two polls of the store, less the time between two reports.
    static constexpr milliseconds min_duration { 800 };

    // Records what another router announces. Returns whether the own rows have now differed for min_duration, again
    // after each further min_duration.
    [[nodiscard]] bool record(announced_rows const& own, announced_rows const& reported, instant now);
    // Returns when another router first announced rows that differ from the current own ones; the epoch if none did.
    [[nodiscard]] instant since() const { return m_since.value_or(instant {}); }

private:
    std::uint64_t m_own_digest { 0 };
    // When other rows than m_own_digest's were first announced; empty if none were.
    std::optional<instant> m_since;
    instant m_found_at {};
};

} // namespace shedhill::peering
