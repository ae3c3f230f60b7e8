// SPDX-License-Identifier: BSD-2-Clause
// Collects the log lines of one request from the logs of any number of processes, orders them by time and derives the
// cause of the request's end.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::diagnosis {

// One log line of the request. The fields exclude those that have their own member.
struct trace_line {
    std::int64_t unix_ms { 0 };
    std::string vm;
    std::string event;
    boost::json::object fields;
};

// The cause of a request's end as a sentence, and the index of the line from which it was derived.
struct trace_cause {
    std::string summary;
    std::size_t line { 0 };
};

class request_trace {
public:
    explicit request_trace(std::string request_id)
        : m_request_id(std::move(request_id))
    {
    }

    // Collects the request's lines from a log. Text before the JSON object of a line is ignored, and so are lines that
    // cannot be parsed or belong to other requests.
    void read(std::istream& log);
    void read_line(std::string_view line);
    // Sorts the lines by their wall-clock time. Lines with the same time keep the order in which they were read. The
    // order of lines of different VMs is approximate, because the clocks of VMs differ slightly.
    void sort();

    [[nodiscard]] std::vector<trace_line> const& lines() const { return m_lines; }
    // Returns the cause of the request's end, or nothing if no line shows it.
    [[nodiscard]] std::optional<trace_cause> cause() const;
    [[nodiscard]] std::string to_text() const;
    [[nodiscard]] boost::json::value to_json() const;

private:
    std::string m_request_id;
    std::vector<trace_line> m_lines;
};

} // namespace shedhill::diagnosis
