// SPDX-License-Identifier: BSD-2-Clause
// Reading of log lines and the sentence that sums them up.
#include "libraries/diagnosis/request_story.h"

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

std::string summary_of_refusal(json::object const& fields)
{
    auto const reason = text_of(fields, "reason");
    auto const start = "refused with " + text_of(fields, "status") + " (" + reason + ")";
    if (reason == "no_place")
        return start + ": team " + text_of(fields, "team") + " had " + text_of(fields, "level")
            + " tokens in the window, its share was " + text_of(fields, "share") + ", the even level "
            + text_of(fields, "even_level") + "; " + text_of(fields, "taken") + " of " + text_of(fields, "places")
            + " places were taken, shares bound by " + text_of(fields, "scarce_percent")
            + " in 100, and the best endpoint's first event was foreseen after " + text_of(fields, "best_expected_ms")
            + " ms";
    if (reason == "endpoints_resting")
        return start + ": all endpoints of pool " + text_of(fields, "pool")
            + " had asked this router for rest, the first for " + text_of(fields, "rest_ms") + " ms more";
    if (reason == "crashes_endpoints")
        return start + ": endpoints had crashed under its last " + text_of(fields, "crashes")
            + " tries, one after another; request_crashed_endpoint with content " + text_of(fields, "content")
            + " names them";
    if (reason == "no_route" || reason == "unknown_key")
        return start + ": by configuration " + text_of(fields, "revision");
    return start + " after " + text_of(fields, "after_ms") + " ms";
}

std::string summary_of_failure(json::object const& fields)
{
    return "attempt " + text_of(fields, "attempt") + " at endpoint " + text_of(fields, "endpoint") + " ended as "
        + text_of(fields, "end") + " after " + text_of(fields, "after_ms") + " ms and " + text_of(fields, "events")
        + " events";
}

} // namespace

void request_story::read(std::istream& log)
{
    std::string line;
    while (std::getline(log, line))
        read_line(line);
}

void request_story::read_line(std::string_view line)
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
    story_line made;
    if (auto const* time = fields.if_contains("unix_ms"); time != nullptr && time->is_int64())
        made.unix_ms = time->get_int64();
    made.vm = text_of(fields, "vm");
    made.event = text_of(fields, "event");
    for (auto const* name : { "unix_ms", "vm", "event", "id", "level" }) {
        // A number under this name is the team's level, not the line's.
        if (std::string_view(name) != "level" || fields["level"].is_string())
            fields.erase(name);
    }
    made.fields = std::move(fields);
    m_lines.push_back(std::move(made));
}

void request_story::sort() { std::ranges::stable_sort(m_lines, {}, &story_line::unix_ms); }

std::optional<story_cause> request_story::cause() const
{
    std::optional<story_cause> found;
    for (std::size_t index = 0; index < m_lines.size(); ++index) {
        auto const& [time, vm, event, fields] = m_lines[index];
        if (event == "answered")
            found = { "answered with " + text_of(fields, "status") + " by endpoint " + text_of(fields, "endpoint"),
                index };
        else if (event == "failure_passed_on")
            found = { "endpoint " + text_of(fields, "endpoint") + " itself answered that it failed; not sent again ("
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

std::string request_story::to_text() const
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

json::value request_story::to_json() const
{
    json::array listed;
    for (auto const& [time, vm, event, fields] : m_lines)
        listed.push_back(json::object { { "unix_ms", time }, { "vm", vm }, { "event", event }, { "fields", fields } });
    json::object story { { "id", m_request_id }, { "lines", listed } };
    if (auto const found = cause())
        story["cause"] = found->summary;
    return story;
}

} // namespace shedhill::diagnosis
