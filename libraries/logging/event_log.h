// SPDX-License-Identifier: BSD-2-Clause
// One JSON object a line on standard output, by Boost.Log. The volume is bounded, warnings have a budget of their own,
// and a reader that does not read never holds the process up: lines are dropped then, and counted. Lines gather until
// flush() is called.
#pragma once

#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::logging {

// By what whoever is on call must do: nothing, know it, look into it.
enum class event_level { debug, info, warning };

struct event_log_options {
    std::uint32_t debug_lines_per_second { 400 };
    std::uint32_t warnings_per_second { 400 };
};

struct event_log_counts {
    // Within the budget, written or not.
    std::uint64_t taken { 0 };
    std::uint64_t over_budget { 0 };
    std::uint64_t pipe_full { 0 };
};

class event_log {
public:
    event_log(std::string vm, event_log_options options);

    // Fields are JSON members without the braces. A line of the level info is never over the budget.
    void write(event_level level, std::string_view event, std::string_view fields, instant now);
    // Writes what has gathered since the last time. Lines of the level info are written at once.
    void flush();
    [[nodiscard]] event_log_counts const& counts() const { return m_counts; }

private:
    [[nodiscard]] bool take_from_budget(event_level level, instant now);
    void write_line(std::string const& line);

    std::string m_vm;
    event_log_options m_options;
    event_log_counts m_counts;
    std::int64_t m_second { 0 };
    std::uint32_t m_debug_lines { 0 };
    std::uint32_t m_warnings { 0 };
};

} // namespace shedhill::logging
