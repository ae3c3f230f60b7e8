// SPDX-License-Identifier: BSD-2-Clause
// Parses event streams byte by byte, since a read may end anywhere, also between a CR and its LF.
#include "libraries/relay/event_stream.h"

#include <algorithm>
#include <charconv>

namespace shedhill::relay {

namespace {

constexpr std::string_view id_field = "id:";
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

std::string_view id_of(std::string_view event)
{
    if (event.starts_with(byte_order_mark))
        event.remove_prefix(byte_order_mark.size());
    std::size_t start = 0;
    while (start < event.size()) {
        auto const end = std::min(event.find_first_of("\r\n", start), event.size());
        auto line = event.substr(start, end - start);
        start = end + 1;
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        return line;
    }
    return {};
}

} // namespace

std::uint32_t event_stream::feed(std::string_view data, std::string& whole_events)
{
    std::uint32_t events = 0;
    std::size_t begin = 0;
    for (std::size_t position = 0; position < data.size(); ++position) {
        if (!ends_event(data[position]))
            continue;
        auto end = position + 1;
        // An LF that was not received yet is forwarded with the next event.
        if (m_is_after_return && end < data.size() && data[end] == '\n') {
            m_is_after_return = false;
            position = end++;
        }
        m_partial += data.substr(begin, end - begin);
        begin = end;
        if (is_next(m_partial)) {
            whole_events += m_partial;
            ++events;
        }
        m_partial.clear();
    }
    m_partial += data.substr(begin);
    return events;
}

bool event_stream::ends_event(char byte)
{
    bool const is_second_of_line_end = m_is_after_return && byte == '\n';
    m_is_after_return = byte == '\r';
    if (is_second_of_line_end)
        return false;
    if (byte == '\r' || byte == '\n')
        return end_line();
    if (m_is_at_start && m_mark_size < byte_order_mark.size() && byte == byte_order_mark[m_mark_size]) {
        // Until the mark is complete, its bytes may as well be the start of a line.
        m_line_size = ++m_mark_size < byte_order_mark.size() ? m_mark_size : 0;
        return false;
    }
    m_is_at_start = false;
    if (m_line_size == 0)
        m_is_comment = byte == ':';
    ++m_line_size;
    return false;
}

bool event_stream::end_line()
{
    m_is_at_start = false;
    if (m_line_size == 0) {
        bool const is_event = m_has_lines;
        begin_event();
        return is_event;
    }
    m_has_lines = true;
    m_has_field_lines |= !m_is_comment;
    m_line_size = 0;
    m_is_comment = false;
    return false;
}

void event_stream::begin_event()
{
    m_line_size = 0;
    m_is_comment = false;
    m_has_lines = false;
    m_has_field_lines = false;
}

void event_stream::drop_partial()
{
    m_partial.clear();
    begin_event();
    m_is_after_return = false;
    m_is_at_start = true;
    m_mark_size = 0;
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
