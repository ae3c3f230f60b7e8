// SPDX-License-Identifier: BSD-2-Clause
// Writes events as JSON objects, one per line, to standard output by Boost.Log. Debug lines and warnings have separate
// limits per second. A slow reader never blocks the process: lines that cannot be written are dropped and counted.
// Lines are buffered until flush() is called.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::logging {

// The levels by the action that they require of the on-call engineer: none (debug), awareness (info), investigation
// (warning).
enum class event_level { debug, info, warning };

struct event_log_options {
    std::uint32_t debug_lines_per_second { 400 };
    std::uint32_t warnings_per_second { 400 };
};

struct event_log_counts {
    // Lines within the limits, whether written or dropped.
    std::uint64_t accepted { 0 };
    // Lines that exceeded the limit per second of their level.
    std::uint64_t rate_limited { 0 };
    // Lines that were too long or that the reader of standard output did not accept in time.
    std::uint64_t dropped { 0 };
};

class event_log {
public:
    event_log(std::string vm, event_log_options options);

    // Writes one line. The fields are JSON members without the enclosing braces. The level info has no limit per
    // second.
    void write(event_level level, std::string_view event, std::string_view fields, instant now);
    // Writes the buffered lines. Lines of the level info are flushed without a call of this function.
    void flush();
    [[nodiscard]] event_log_counts const& counts() const { return m_counts; }

private:
    [[nodiscard]] bool consume_budget(event_level level, instant now);
    void write_line(std::string const& line);

    std::string m_vm;
    event_log_options m_options;
    event_log_counts m_counts;
    std::int64_t m_second { 0 };
    std::uint32_t m_debug_lines { 0 };
    std::uint32_t m_warnings { 0 };
};

} // namespace shedhill::logging
