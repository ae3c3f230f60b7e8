// SPDX-License-Identifier: BSD-2-Clause
// Units of time and service. Reducers don't read a clock: every event carries a time point of logical_clock.
#pragma once

#include "base/strong_type.h"

#include <chrono>
#include <cstdint>

namespace shedhill {

// A clock with a resolution of one millisecond. It has no now(): the process that creates an event supplies the time.
struct logical_clock {
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<logical_clock, duration>;
    static constexpr bool is_steady = true;
};

using milliseconds = logical_clock::duration;
using instant = logical_clock::time_point;

// An amount of service: thousandths of a weighted token for model engines, milliseconds of slot occupancy for plain
// services.
class service_units {
public:
    constexpr service_units() = default;
    constexpr explicit service_units(std::int64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::int64_t value() const { return m_value; }

    constexpr auto operator<=>(service_units const&) const = default;
    constexpr service_units& operator+=(service_units other)
    {
        m_value += other.m_value;
        return *this;
    }
    constexpr service_units& operator-=(service_units other)
    {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr service_units operator+(service_units left, service_units right) { return left += right; }
    friend constexpr service_units operator-(service_units left, service_units right) { return left -= right; }

private:
    std::int64_t m_value { 0 };
};

// The cost of one token of each kind, in thousandths of a weighted token.
struct token_weights {
    std::int64_t prompt { 250 };
    std::int64_t cached_prompt { 25 };
    std::int64_t generated { 1000 };
};

} // namespace shedhill
