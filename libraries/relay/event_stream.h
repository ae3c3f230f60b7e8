// SPDX-License-Identifier: BSD-2-Clause
// Splits the body of an event stream into complete events and records the id of the last one. An endpoint may stop in
// the middle of an event; incomplete events are never forwarded.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace shedhill::relay {

// An empty line ends an event. Lines end with LF, CR or CR LF. A stream is inside an event while the bytes after its
// last empty line hold more than line ends, complete comment lines and a byte order mark.
class event_stream {
public:
    // Parses bytes of the body and appends the events that are now complete to `whole_events`. Skips events with a
    // numeric id that is not above the last one forwarded. Returns the number of events that were appended.
    std::uint32_t feed(std::string_view data, std::string& whole_events);

    // Returns the bytes after the last complete event.
    [[nodiscard]] std::string const& partial() const { return m_partial; }
    // Returns whether an event has begun that is not yet complete. A stream that ends here has been broken off.
    [[nodiscard]] bool is_inside_event() const { return m_has_field_lines || m_line_size > 0; }
    // Discards the incomplete event, since another endpoint resumes the stream after the last complete one.
    void drop_partial();
    [[nodiscard]] std::string const& last_id() const { return m_last_id; }
    // Returns whether the numeric ids of the forwarded events have a gap, so that events between them are missing.
    [[nodiscard]] bool has_gap() const { return m_has_gap; }

private:
    // Returns whether this byte ends an event.
    [[nodiscard]] bool ends_event(char byte);
    [[nodiscard]] bool end_line();
    void begin_event();
    [[nodiscard]] bool is_next(std::string_view event);

    std::string m_partial;
    // The size of the line that is not complete yet, without a byte order mark.
    std::size_t m_line_size { 0 };
    // How many bytes of a byte order mark the body has begun with.
    std::size_t m_mark_size { 0 };
    // Whether all bytes so far belong to the byte order mark.
    bool m_is_at_start { true };
    bool m_is_comment { false };
    // Whether the event has complete lines that are not empty, and such lines that are no comments.
    bool m_has_lines { false };
    bool m_has_field_lines { false };
    // The last byte was a CR, so that an LF belongs to the same end of the line.
    bool m_is_after_return { false };
    std::string m_last_id;
    std::int64_t m_last_number { -1 };
    bool m_has_gap { false };
};

} // namespace shedhill::relay
