// SPDX-License-Identifier: BSD-2-Clause
// Finds one request in the logs of any number of processes and tells what happened to it, in order.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shedhill::diagnosis {

struct story_line {
    std::int64_t unix_ms { 0 };
    std::string vm;
    std::string event;
    boost::json::object fields;
};

// The cause of a request's end, in the words of the log, and the line that tells it.
struct story_cause {
    std::string summary;
    std::size_t line { 0 };
};

class request_story {
public:
    explicit request_story(std::string request_id)
        : m_request_id(std::move(request_id))
    {
    }

    // Takes the request's lines out of a log. What stands before the JSON object of a line is skipped, and so are lines
    // that are not of ours.
    void read(std::istream& log);
    void read_line(std::string_view line);
    // Puts the lines in order. Clocks of VMs differ a little: lines of one VM stay in their own order.
    void sort();

    [[nodiscard]] std::vector<story_line> const& lines() const { return m_lines; }
    [[nodiscard]] std::optional<story_cause> cause() const;
    [[nodiscard]] std::string to_text() const;
    [[nodiscard]] boost::json::value to_json() const;

private:
    std::string m_request_id;
    std::vector<story_line> m_lines;
};

} // namespace shedhill::diagnosis
