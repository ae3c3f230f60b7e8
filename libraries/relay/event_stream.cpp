// SPDX-License-Identifier: BSD-2-Clause
// Parses event streams, in which an empty line ends each event.
#include "libraries/relay/event_stream.h"

#include <charconv>

namespace shedhill::relay {

namespace {

constexpr std::string_view id_field = "id:";

// Returns the end of the first complete event of the text, or npos.
std::size_t end_of_event(std::string_view text)
{
    auto const plain = text.find("\n\n");
    auto const with_returns = text.find("\r\n\r\n");
    if (with_returns < plain)
        return with_returns + std::string_view("\r\n\r\n").size();
    return plain == std::string_view::npos ? plain : plain + std::string_view("\n\n").size();
}

std::string_view id_of(std::string_view event)
{
    std::size_t start = 0;
    while (start < event.size()) {
        auto const end = std::min(event.find('\n', start), event.size());
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        return line;
    }
    return {};
}

} // namespace

std::uint32_t event_stream::feed(std::string_view data, std::string& whole_events)
{
    std::string joined;
    if (!m_partial.empty()) {
        joined = std::move(m_partial);
        joined += data;
        m_partial.clear();
        data = joined;
    }
    std::uint32_t events = 0;
    for (auto end = end_of_event(data); end != std::string_view::npos; end = end_of_event(data)) {
        auto const event = data.substr(0, end);
        data.remove_prefix(end);
        if (!is_next(event))
            continue;
        whole_events += event;
        ++events;
    }
    m_partial = data;
    return events;
}

bool event_stream::is_next(std::string_view event)
{
    auto const id = id_of(event);
    if (id.empty())
        return true;
    std::int64_t number = -1;
    if (std::from_chars(id.data(), id.data() + id.size(), number).ptr == id.data() + id.size()) {
        if (m_last_number >= 0 && number <= m_last_number)
            return false;
        if (m_last_number >= 0 && number != m_last_number + 1)
            m_has_gap = true;
        m_last_number = number;
    }
    m_last_id = id;
    return true;
}

} // namespace shedhill::relay
