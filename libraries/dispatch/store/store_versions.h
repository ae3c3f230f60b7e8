// SPDX-License-Identifier: BSD-2-Clause
// Finds versions of the store that no received row explains. The store numbers its transactions by one version for all
// tables and returns the newest version with each answer. A version without a received row belongs to a row whose
// answer was lost, to a row that has changed again since, or to a table that this router does not watch.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>
#include <set>

namespace shedhill::dispatch {

class store_versions {
public:
    // Records that a row of this version was received.
    void record_row(std::uint64_t version);
    // Records the newest version that an answer of the store contained.
    void record_newest(std::uint64_t version, instant now);
    // Records that all rows up to this version were received.
    void record_complete(std::uint64_t version);

    struct unexplained_version {
        std::uint64_t version { 0 };
        instant noticed_at {};
    };

    // Returns the newest version that no row explains, if there is one.
    [[nodiscard]] std::optional<unexplained_version> unexplained() const { return m_unexplained; }

private:
    void find_unexplained(instant now);

    // All versions up to this one are explained.
    std::uint64_t m_complete { 0 };
    std::uint64_t m_newest { 0 };
    // The versions of received rows after m_complete; their number is bounded.
    std::set<std::uint64_t> m_rows;
    std::optional<unexplained_version> m_unexplained;
};

} // namespace shedhill::dispatch
