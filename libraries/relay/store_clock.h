// SPDX-License-Identifier: BSD-2-Clause
// Relates the steady clock that the store puts into its answers to this router's own. An answer or a report that a
// network held up then counts as what it is, an old one, whenever it arrives.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <optional>

namespace shedhill::relay {

// A time of the store's clock.
using store_milliseconds = std::int64_t;

class store_clock {
public:
    // Records an answer with this time, and returns when the store wrote it, by this router's clock and at the latest.
    // The fastest answers of the last minute tell how the clocks are related.
    instant record_answer(store_milliseconds store_time, instant arrived_at);
    // Convert between the two clocks; empty before the first answer.
    [[nodiscard]] std::optional<instant> to_own_time(store_milliseconds store_time) const;
    [[nodiscard]] std::optional<store_milliseconds> to_store_time(instant own_time) const;

private:
    // The period of which the fastest answer is kept, beside that of the period before. A store whose clock begins
    // anew is followed after two of them.
    static constexpr milliseconds period { 30000 };

    [[nodiscard]] std::optional<std::int64_t> offset() const;

    // The store's time minus the own one: the greatest of the period, which the fastest answer brings.
    std::optional<std::int64_t> m_offset;
    std::optional<std::int64_t> m_earlier_offset;
    instant m_period_began_at {};
};

} // namespace shedhill::relay
