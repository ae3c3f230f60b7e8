// SPDX-License-Identifier: BSD-2-Clause
// Parses log lines and derives the cause of a request's end from them.
#include "libraries/diagnosis/request_trace.h"

#include <algorithm>
#include <sstream>

namespace shedhill::diagnosis {

namespace json = boost::json;

namespace {

std::string text_of(json::object const& fields, std::string_view name)
{
    auto const* value = fields.if_contains(json::string_view(name.data(), name.size()));
    if (value == nullptr)
        return {};
    if (auto const* text = value->if_string())
        return { text->data(), text->size() };
    return json::serialize(*value);
}

// Returns what a refused request has in common with those under which endpoints crashed.
std::string name_of_suspect(json::object const& fields)
{
    auto const part = text_of(fields, "suspect_part");
    return part == "0" ? "content" : "prompt part " + part;
}

std::string summary_of_refusal(json::object const& fields)
{
    auto const reason = text_of(fields, "reason");
    auto const start = "refused with " + text_of(fields, "status") + " (" + reason + ")";
    if (reason == "no_place")
        return start + ": team " + text_of(fields, "team") + " had " + text_of(fields, "level")
            + " tokens in the window, its share was " + text_of(fields, "share") + ", the even level "
            + text_of(fields, "even_level") + "; " + text_of(fields, "taken") + " of " + text_of(fields, "places")
            + " slots were in use, shares were enforced at " + text_of(fields, "scarce_percent")
            + " percent, and the first event of the best endpoint was estimated after "
            + text_of(fields, "best_expected_ms") + " ms";
    if (reason == "endpoints_resting")
        return start + ": all endpoints of pool " + text_of(fields, "pool")
            + " had asked this router to back off, the first for another " + text_of(fields, "rest_ms") + " ms";
    if (reason == "crashes_endpoints")
        return start + ": endpoints crashed during the last " + text_of(fields, "crashes")
            + " consecutive attempts of requests with the same " + name_of_suspect(fields)
            + "; the events request_crashed_endpoint with content " + text_of(fields, "suspect") + " name them";
    if (reason == "unknown_version")
        return start + ": no router remembered in time which software version began the stream of request "
            + text_of(fields, "resumed_request");
    if (reason == "no_matching_version")
        return start + ": no available endpoint of pool " + text_of(fields, "pool")
            + " runs the software version that began the stream of request " + text_of(fields, "resumed_request");
    if (reason == "no_route" || reason == "unknown_key")
        return start + ": by configuration " + text_of(fields, "revision");
    return start + " after " + text_of(fields, "after_ms") + " ms";
}

// Returns how the answer ended, if the line tells it.
std::string summary_of_ending(json::object const& fields)
{
    auto const framing = text_of(fields, "framing");
    if (framing.empty() || framing == "none")
        return {};
    return ", framed by " + framing + ", ended by " + text_of(fields, "ended_by") + " with "
        + text_of(fields, "partial_bytes") + " bytes of an incomplete event";
}

std::string summary_of_failure(json::object const& fields)
{
    return "attempt " + text_of(fields, "attempt") + " at endpoint " + text_of(fields, "endpoint") + " ended as "
        + text_of(fields, "end") + " after " + text_of(fields, "after_ms") + " ms and " + text_of(fields, "events")
        + " events" + summary_of_ending(fields);
}

} // namespace

void request_trace::read(std::istream& log)
{
    std::string line;
    while (std::getline(log, line))
        read_line(line);
}

void request_trace::read_line(std::string_view line)
{
    auto const start = line.find('{');
    if (start == std::string_view::npos || line.find(m_request_id) == std::string_view::npos)
        return;
    line.remove_prefix(start);
    boost::system::error_code failure;
    auto parsed = json::parse({ line.data(), line.size() }, failure);
    if (failure || !parsed.is_object())
        return;
    auto& fields = parsed.get_object();
    if (text_of(fields, "id") != m_request_id)
        return;
    trace_line parsed_line;
    if (auto const* time = fields.if_contains("unix_ms"); time != nullptr && time->is_int64())
        parsed_line.unix_ms = time->get_int64();
    parsed_line.vm = text_of(fields, "vm");
    parsed_line.event = text_of(fields, "event");
    for (auto const* name : { "unix_ms", "vm", "event", "id", "level" }) {
        // A string under "level" is the level of the log line; a number is the team's service level and remains a
        // field.
        if (std::string_view(name) != "level" || fields["level"].is_string())
            fields.erase(name);
    }
    parsed_line.fields = std::move(fields);
    m_lines.push_back(std::move(parsed_line));
}

void request_trace::sort() { std::ranges::stable_sort(m_lines, {}, &trace_line::unix_ms); }

std::optional<trace_cause> request_trace::cause() const
{
    std::optional<trace_cause> found;
    for (std::size_t index = 0; index < m_lines.size(); ++index) {
        auto const& [time, vm, event, fields] = m_lines[index];
        if (event == "answered")
            found = { "answered with " + text_of(fields, "status") + " by endpoint " + text_of(fields, "endpoint")
                    + summary_of_ending(fields),
                index };
        else if (event == "failure_passed_on")
            found = { "endpoint " + text_of(fields, "endpoint") + " answered with a failure of its own; not retried ("
                    + text_of(fields, "not_again") + ")",
                index };
        else if (event == "caller_left")
            found = { "the caller left after " + text_of(fields, "after_ms") + " ms", index };
        else if (event == "attempt_failed")
            found = { summary_of_failure(fields), index };
        else if (event == "refused" && found && m_lines[found->line].event == "attempt_failed")
            found = { found->summary + "; " + summary_of_refusal(fields), index };
        else if (event == "refused")
            found = { summary_of_refusal(fields), index };
        else if (event == "broken_off" && found)
            found = { found->summary + "; broken off (" + text_of(fields, "reason") + ")", index };
        else if (event == "broken_off")
            found = { "broken off (" + text_of(fields, "reason") + ")", index };
    }
    return found;
}

std::string request_trace::to_text() const
{
    std::ostringstream text;
    auto const first = m_lines.empty() ? 0 : m_lines.front().unix_ms;
    for (auto const& [time, vm, event, fields] : m_lines) {
        text << '+' << time - first << " ms  " << vm << "  " << event;
        for (auto const& [name, value] : fields)
            text << "  " << name << '='
                 << (value.is_string() ? std::string(value.get_string()) : json::serialize(value));
        text << '\n';
    }
    if (auto const found = cause())
        text << "cause: " << found->summary << '\n';
    return text.str();
}

json::value request_trace::to_json() const
{
    json::array listed;
    for (auto const& [time, vm, event, fields] : m_lines)
        listed.push_back(json::object { { "unix_ms", time }, { "vm", vm }, { "event", event }, { "fields", fields } });
    json::object trace_json { { "id", m_request_id }, { "lines", listed } };
    if (auto const found = cause())
        trace_json["cause"] = found->summary;
    return trace_json;
}

} // namespace shedhill::diagnosis
